#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lentiljunction::lab {

/// A caller's session over a plain blocking socket.
class LineCaller {
public:
    /// Opens a session.
    ///
    /// @param port where the instance listens
    /// @param timeout how long an response is waited for
    LineCaller(std::uint16_t port, const std::string& database, std::chrono::seconds timeout = std::chrono::seconds(30));
    ~LineCaller();
    LineCaller(const LineCaller&) = delete;
    LineCaller& operator=(const LineCaller&) = delete;

    /// Sends a statement and waits for its whole response.
    ///
    /// @returns the lines of the response joined by "|"; what came until the connection ended
    std::string execute(const std::string& text);

    /// Sends raw bytes and waits for an response, or the end of the connection.
    std::string sendRaw(const std::string& bytes);

    /// @returns whether the last response did not come in time while the connection stayed open
    bool hasTimedOut() const { return this->isTimedOut; }

    /// @returns the response to the start of the session
    const std::string& getStartupResponse() const { return this->startupResponse; }

private:
    std::string readResponse();

    int descriptor = -1;
    int nextId = 1;
    bool isTimedOut = false;
    std::string buffer;
    std::string startupResponse;
};

/// @returns whether an response is a success with an upstream's proof
bool isServed(const std::string& response);

/// @returns whether an response holds a text
bool contains(const std::string& response, const std::string& part);

} // namespace lentiljunction::lab
