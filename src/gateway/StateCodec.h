#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace lentiljunction {

/// Names the primary record that this instance has in a request for the state of another one, which then need not send it.
void encodeRecordRequest(const VersionedPrimaryRecord& latest, nlohmann::json& request);

/// Adds the primary record to the state that another instance requested, or only its version if that instance has it.
void encodeRecordResponse(const VersionedPrimaryRecord& latest, const nlohmann::json& request, nlohmann::json& response);

/// @param response the state of another instance
/// @param had the record that this instance named in its request
/// @param failure set to NotFound when the other instance has no record
/// @returns the record of the other instance, or nothing
std::optional<VersionedPrimaryRecord> decodeRecordResponse(const nlohmann::json& response, const VersionedPrimaryRecord& had, Failure& failure);

} // namespace lentiljunction
