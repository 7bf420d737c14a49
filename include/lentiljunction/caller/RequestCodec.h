#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/caller/Request.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace lentiljunction {

/// Decodes and validates a request.
///
/// @param document the request as sent by the caller
/// @param limits the limits of the active bundle
/// @param failure set to all errors found, each with the name of its field
/// @returns the request, or nothing
std::optional<Request> parseRequest(const nlohmann::json& document, const LimitsConfig& limits, Failure& failure);

/// @returns the request as sent between instances
nlohmann::json toJson(const Request& request);

/// @returns the response as sent to callers
nlohmann::json toJson(const CallerResponse& response);

/// @returns the outcome as sent between instances
nlohmann::json toJson(const Outcome& outcome);

/// @returns the outcome decoded from JSON, or nothing when it is malformed
std::optional<Outcome> parseOutcome(const nlohmann::json& document);

/// @param text "<milliseconds since the Unix epoch>:<unique text>"
/// @returns the key, or nothing when the text does not have this form
std::optional<IdempotencyKey> parseIdempotencyKey(const std::string& text);

} // namespace lentiljunction
