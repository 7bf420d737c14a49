#pragma once

#include <websocketpp/common/network.hpp>

namespace lentiljunction {

/// Prepares websocketpp for use by several threads. Call this before the event loops start.
inline void prepareWebSocketLibrary()
{
    // The first conversion stores the machine's byte order in a static variable without a lock.
    (void)websocketpp::lib::net::_htonll(0);
}

} // namespace lentiljunction
