#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace lentiljunction {

/// @param answer the answer of a gateway instance
/// @returns the answer as text for people
///
/// @see RouteExplanationCodec
std::string formatRoute(const nlohmann::json& answer);

} // namespace lentiljunction
