#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lentiljunction::lab {

/// A caller's session in the line protocol, over a blocking socket.
class LineCaller {
public:
    /// Connects to an instance on loopback and opens a session.
    ///
    /// @param port session port of the instance
    /// @param timeout longest wait for received bytes; see hasTimedOut()
    LineCaller(std::uint16_t port, const std::string& database, std::chrono::seconds timeout = std::chrono::seconds(30));
    ~LineCaller();
    LineCaller(const LineCaller&) = delete;
    LineCaller& operator=(const LineCaller&) = delete;

    /// Sends a statement and waits for the complete response.
    ///
    /// @returns the lines of the response, joined by "|"; an incomplete response when the connection ended or
    /// the wait timed out
    std::string execute(const std::string& text);

    /// Sends raw bytes and waits for a response, the end of the connection, or the timeout.
    std::string sendRaw(const std::string& bytes);

    /// @returns whether the last response timed out while the connection stayed open
    bool hasTimedOut() const { return this->isTimedOut; }

    /// @returns the response to the STARTUP message
    const std::string& getStartupResponse() const { return this->startupResponse; }

private:
    std::string readResponse();

    int descriptor = -1;
    int nextId = 1;
    bool isTimedOut = false;
    std::string buffer;
    std::string startupResponse;
};

/// @returns whether a response is a success that an upstream signed
bool isServed(const std::string& response);

/// @returns whether a response contains a text
bool contains(const std::string& response, const std::string& part);

} // namespace lentiljunction::lab
