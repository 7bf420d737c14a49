#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/caller/Request.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace lentiljunction {

/// Reads and checks a request.
///
/// @param document the request as the caller sent it
/// @param limits the limits in force
/// @param failure receives every fault with the name of its field
/// @returns the request, or nothing
std::optional<Request> parseRequest(const nlohmann::json& document, const LimitsConfig& limits, Failure& failure);

/// @returns the request as sent between instances
nlohmann::json toJson(const Request& request);

/// @returns the answer as sent to callers
nlohmann::json toJson(const CallerResponse& answer);

/// @returns the outcome as sent between instances
nlohmann::json toJson(const Outcome& outcome);

/// @returns an outcome read from JSON, or nothing when malformed
std::optional<Outcome> parseOutcome(const nlohmann::json& document);

/// @param text "<milliseconds since the Unix epoch>:<unique text>"
/// @returns the key, or nothing when the text has another form
std::optional<IdempotencyKey> parseIdempotencyKey(const std::string& text);

} // namespace lentiljunction
