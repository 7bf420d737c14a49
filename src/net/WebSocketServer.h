#pragma once

#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/settings/Settings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lentiljunction {

/// A request over plain HTTP.
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
};

/// A listening port that serves WebSocket sessions and plain HTTP requests.
///
/// Everything runs on the thread of the event loop.
class WebSocketServer {
public:
    /// Names a connection. Never used twice.
    using Handle = std::uint64_t;

    /// Is told what arrives.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// @param resource the path and query with which the session was opened
        virtual void onSessionOpened(Handle handle, const std::string& resource) = 0;
        virtual void onSessionMessage(Handle handle, const std::string& payload, bool isBinary) = 0;
        virtual void onSessionClosed(Handle handle) = 0;

        /// To be answered with WebSocketServer::respond, now or later.
        virtual void onHttpRequest(Handle handle, const HttpRequest& request) = 0;
    };

    /// @param loop runs the server; must outlive it
    /// @param listener told what arrives; must outlive the server
    WebSocketServer(EventLoop& loop, Listener& listener);
    ~WebSocketServer();
    WebSocketServer(const WebSocketServer&) = delete;
    WebSocketServer& operator=(const WebSocketServer&) = delete;

    /// Opens the port.
    ///
    /// @param failure says why the port cannot be opened
    /// @returns whether it is open
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Sends a message on a session; one that is closed already is ignored.
    void send(Handle handle, const std::string& payload, bool isBinary);

    /// Answers an HTTP request.
    void respond(Handle handle, const HttpResponse& response);

    /// Closes a session.
    void close(Handle handle);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
