#pragma once

#include <cstddef>

namespace lentiljunction {

/// Bounds on the memory of one connection, in bytes. A connection that exceeds one is closed.
struct WebSocketLimits {
    /// A received message, or the body of a request. The default is far above that of the bundle, so that a request over the
    /// bundle's limit normally gets an error response instead.
    std::size_t message = 64U << 20;
    /// Bytes that wait for a peer that does not read.
    std::size_t pending = 64U << 20;
};

/// For pages, whose requests have no body.
constexpr WebSocketLimits pageLimits { 64U << 10, 4U << 20 };
/// For requests of other instances, whose largest parts are values of the store, of at most 1 MiB each.
constexpr WebSocketLimits peerLimits { 4U << 20, 8U << 20 };
/// For statements and replies on lent connections, of which the longest has 4 MiB and a header.
constexpr WebSocketLimits lendingLimits { 5U << 20, 16U << 20 };
/// For counts of workspaces.
constexpr WebSocketLimits quotaLimits { 1U << 20, 2U << 20 };

} // namespace lentiljunction
