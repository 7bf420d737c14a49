#pragma once

#include "lentiljunction/core/Outcome.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace lentiljunction {

/// @returns result sets as JSON, in the format of responses to callers
nlohmann::json toJson(const std::vector<ResultSet>& results);

/// @returns the result sets parsed from JSON, or nothing when it is malformed
std::optional<std::vector<ResultSet>> parseResults(const nlohmann::json& document);

} // namespace lentiljunction
