#pragma once

#include "lentiljunction/core/Failure.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentiljunction {

/// An IP address and a port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint& left, const Endpoint& right) { return left.host == right.host && left.port == right.port; }
    friend bool operator!=(const Endpoint& left, const Endpoint& right) { return !(left == right); }
};

/// Parses "address:port".
///
/// @param text a non-empty address and, after the last colon, a port from 1 to 65535
/// @param failure set when the text is malformed; the reason quotes the text
/// @returns the endpoint, or nothing
std::optional<Endpoint> parseEndpoint(const std::string& text, Failure& failure);

} // namespace lentiljunction
