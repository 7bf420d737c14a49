#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace lentiljunction {

/// @returns the record as JSON, as stored and as sent to other instances
nlohmann::json encodePrimaryRecord(const PrimaryRecord& record);

/// Parses a record.
///
/// @param failure receives every missing or malformed field
/// @returns the record, or nothing when a field is missing or malformed
std::optional<PrimaryRecord> decodePrimaryRecord(const nlohmann::json& document, Failure& failure);

} // namespace lentiljunction
