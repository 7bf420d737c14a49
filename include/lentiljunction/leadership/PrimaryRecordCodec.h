#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace lentiljunction {

/// @returns the record as it is kept in the store and sent to other instances
nlohmann::json encodePrimaryRecord(const PrimaryRecord& record);

/// @param failure says which field is missing or malformed
/// @returns the record, or nothing
std::optional<PrimaryRecord> decodePrimaryRecord(const nlohmann::json& document, Failure& failure);

} // namespace lentiljunction
