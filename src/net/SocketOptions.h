#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>

namespace lentiljunction {

/// The connection is closed when sent data is not acknowledged for this time (TCP_USER_TIMEOUT). It
/// covers many round trips between availability zones and is shorter than the callers' timeouts.
constexpr std::chrono::milliseconds unacknowledgedTimeout { 1000 };

/// The delay before the next accept after one failed, usually because no file descriptor was free.
constexpr std::chrono::milliseconds acceptRetryInterval { 20 };

/// Disables Nagle's algorithm, so that small messages are sent immediately, and enables TCP
/// keep-alive and TCP_USER_TIMEOUT, so that a peer that vanished without closing is detected.
void setNoDelayAndKeepAlive(asio::ip::tcp::socket& socket);

/// Closes the connection with a TCP reset instead of an orderly shutdown, so that undelivered bytes
/// are discarded.
void closeWithReset(asio::ip::tcp::socket& socket);

/// Makes the system reset the connection when it is closed, also by the end of the process. Otherwise the system goes on
/// sending what was not acknowledged, so that a request of a process that was killed during a partition arrives after it.
void discardUnacknowledgedOnClose(asio::ip::tcp::socket& socket);

} // namespace lentiljunction
