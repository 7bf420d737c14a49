#pragma once

#include "lentiljunction/core/Failure.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentiljunction {

/// An address of IP number and port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
};

/// Reads "address:port".
///
/// @param text the address, not empty, and a port from 1 to 65535 after the last colon
/// @param failure receives what is wrong, with the text
/// @returns the endpoint, or nothing
std::optional<Endpoint> parseEndpoint(const std::string& text, Failure& failure);

} // namespace lentiljunction
