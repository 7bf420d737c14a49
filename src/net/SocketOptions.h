#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>

namespace lentiljunction {

/// Data that is not acknowledged for this long breaks the connection: many round trips between
/// availability zones, and shorter than what callers wait for an answer.
constexpr std::chrono::milliseconds unacknowledgedLimit { 1000 };

/// Sends small messages at once, and notices a peer that is gone without a word.
void setPromptAndMortal(asio::ip::tcp::socket& socket);

/// Breaks the connection instead of ending it in order, so that bytes that were not delivered yet
/// never are.
void closeAbruptly(asio::ip::tcp::socket& socket);

} // namespace lentiljunction
