#pragma once

#include "../traffic/RouteExplanation.h"
#include "lentiljunction/core/Failure.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace lentiljunction {

/// The path at which a gateway instance explains where a statement would go, on the address of its metrics.
constexpr const char* routeExplanationPath = "/explain-route";

/// Parses the query of a request for routeExplanationPath.
///
/// @param resource path and query
/// @param failure set when a parameter is missing, unknown or invalid
/// @returns the question, or nothing
std::optional<RouteQuestion> parseRouteQuestion(const std::string& resource, Failure& failure);

/// @returns the answer for `lentiljunction route`
nlohmann::json toJson(const RouteExplanation& answer);

} // namespace lentiljunction
