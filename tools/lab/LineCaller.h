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
    /// @param key the second field of the first message: an API key where the site has workspaces
    LineCaller(std::uint16_t port, const std::string& database, std::chrono::seconds timeout = std::chrono::seconds(30), const std::string& key = "tester");
    ~LineCaller();
    LineCaller(const LineCaller&) = delete;
    LineCaller& operator=(const LineCaller&) = delete;

    /// Sends a statement and waits for the complete response.
    ///
    /// @returns the lines of the response, joined by "|"; an incomplete response when the connection ended or
    /// the wait timed out
    std::string execute(const std::string& text);

    /// Sets the text before the number in the ids of statements; upstreams check that of LineGroup::makeIdPrefix().
    void setIdPrefix(const std::string& prefix) { this->idPrefix = prefix; }

    /// Sends raw bytes and waits for a response, the end of the connection, or the timeout.
    std::string sendRaw(const std::string& bytes);

    /// @returns whether the last response timed out while the connection stayed open
    bool hasTimedOut() const { return this->isTimedOut; }

    /// @returns whether the instance has closed the connection; call it while no response is expected
    bool isClosed() const;

    /// @returns when the last bytes were sent
    std::chrono::steady_clock::time_point getSentAt() const { return this->sentAt; }

    /// @returns the response to the STARTUP message
    const std::string& getStartupResponse() const { return this->startupResponse; }

private:
    std::string readResponse();

    int descriptor = -1;
    int nextId = 1;
    std::string idPrefix = "q";
    bool isTimedOut = false;
    std::chrono::steady_clock::time_point sentAt;
    std::string buffer;
    std::string startupResponse;
};

/// @returns whether a response is a success that an upstream signed
bool isServed(const std::string& response);

/// @returns whether a response contains a text
bool contains(const std::string& response, const std::string& part);

} // namespace lentiljunction::lab
