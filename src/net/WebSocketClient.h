#pragma once

#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/settings/Settings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lentiljunction {

/// Opens WebSocket sessions to other processes.
///
/// Everything runs on the thread of the event loop.
class WebSocketClient {
public:
    /// Names a connection. Never used twice.
    using Handle = std::uint64_t;

    /// Is told what arrives.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onConnected(Handle handle) = 0;
        virtual void onMessage(Handle handle, const std::string& payload) = 0;

        /// Also called when the connection could not be opened.
        virtual void onDisconnected(Handle handle) = 0;
    };

    /// @param loop runs the client; must outlive it
    /// @param listener told what arrives; must outlive the client
    WebSocketClient(EventLoop& loop, Listener& listener);
    ~WebSocketClient();
    WebSocketClient(const WebSocketClient&) = delete;
    WebSocketClient& operator=(const WebSocketClient&) = delete;

    /// Starts to open a session.
    ///
    /// @param resource the path and query, beginning with a slash
    Handle connect(const Endpoint& endpoint, const std::string& resource);

    /// Sends a message; a session that is closed already is ignored.
    void send(Handle handle, const std::string& payload, bool isBinary);

    /// Drops a session at once, without a closing handshake.
    void drop(Handle handle);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
