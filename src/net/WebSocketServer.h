#pragma once

#include "WebSocketLimits.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/settings/Settings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lentiljunction {

/// A request received over plain HTTP.
struct HttpRequest {
    std::string method;
    std::string path;
    std::string body;
};

/// The response to an HttpRequest.
struct HttpResponse {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::map<std::string, std::string> headers = {};
};

/// Serves WebSocket sessions and plain HTTP requests on one port.
///
/// Use only on the event loop's thread; callbacks run on it too.
class WebSocketServer {
public:
    /// Identifies a session or an HTTP request. Handles are not reused.
    using Handle = std::uint64_t;

    /// Receives sessions, messages and requests.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// @param resource the path and query with which the session was opened
        virtual void onSessionOpened(Handle handle, const std::string& resource) = 0;
        virtual void onSessionMessage(Handle handle, const std::string& payload, bool isBinary) = 0;
        virtual void onSessionClosed(Handle handle) = 0;

        /// The listener responds with WebSocketServer::respond(), immediately or later.
        virtual void onHttpRequest(Handle handle, const HttpRequest& request) = 0;
    };

    /// @param loop runs the server; must outlive it
    /// @param listener receives the events; must outlive the server
    /// @param limits bounds on the memory of each connection
    WebSocketServer(EventLoop& loop, Listener& listener, const WebSocketLimits& limits = WebSocketLimits());
    ~WebSocketServer();
    WebSocketServer(const WebSocketServer&) = delete;
    WebSocketServer& operator=(const WebSocketServer&) = delete;

    /// Opens the port. Can be tried again after a failure.
    ///
    /// @param failure set when the port cannot be opened
    /// @returns whether it is open
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Sends a message; does nothing when the session is closed. Closes the session of a peer that does not read.
    void send(Handle handle, const std::string& payload, bool isBinary);

    /// @returns the bytes that wait until the peer of a session receives them
    std::size_t getBufferedBytes(Handle handle) const;

    /// @returns the same for all sessions together
    std::size_t countBufferedBytes() const;

    /// Responds to an HTTP request; does nothing when its connection is closed.
    void respond(Handle handle, const HttpResponse& response);

    /// Starts the closing handshake of a session.
    void close(Handle handle);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
