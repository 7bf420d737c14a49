#pragma once

#include "PieceSender.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace lentiljunction {

/// Adds a request for a piece to the request of another instance.
void encodePieceRequest(const PieceRequest& piece, nlohmann::json& request);

/// @returns the piece that a request asks for; nothing when it comes from a build that sends everything whole
std::optional<PieceRequest> decodePieceRequest(const nlohmann::json& request);

/// @returns a response to another instance
nlohmann::json encodePieceResponse(const PieceResponse& response);

/// @returns the response; nothing when it comes from a build that sends everything whole, or is malformed
std::optional<PieceResponse> decodePieceResponse(const nlohmann::json& response);

} // namespace lentiljunction
