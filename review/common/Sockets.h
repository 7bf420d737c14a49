#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace review {

/// Opens a listening socket on loopback.
///
/// @param port a port, or 0 for a free one; receives the port
/// @returns the descriptor, or -1
int listenOnLoopback(std::uint16_t& port, int backlog = 512);

/// Reserves a free port for another process, which binds it with SO_REUSEADDR, until this process ends.
std::uint16_t reservePort();

/// Connects to a port on loopback.
///
/// @returns the descriptor, or -1
int connectToLoopback(std::uint16_t port, std::chrono::milliseconds receiveTimeout);

/// Starts to connect a socket that does not block.
void startConnecting(int descriptor, std::uint16_t port);

/// Accepts connections on a thread of its own and handles each on another one.
void serve(int listener, std::function<void(int descriptor)> handler);

bool sendAll(int descriptor, const std::string& bytes);

/// Removes a line that ends with CR LF from a connection.
///
/// @param buffer bytes that were received and not taken yet
/// @returns false when the connection ended or the receive timeout passed
bool takeLine(int descriptor, std::string& buffer, std::string& line);

} // namespace review
