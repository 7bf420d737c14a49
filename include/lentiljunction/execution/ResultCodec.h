#pragma once

#include "lentiljunction/core/Outcome.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace lentiljunction {

/// @returns result sets as JSON, as in answers to callers
nlohmann::json toJson(const std::vector<ResultSet>& results);

/// @returns result sets read from JSON, or nothing when malformed
std::optional<std::vector<ResultSet>> parseResults(const nlohmann::json& document);

} // namespace lentiljunction
