#pragma once

#include "WebSocketLimits.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/settings/Settings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lentiljunction {

/// Opens WebSocket sessions to other processes.
///
/// Use only on the event loop's thread; callbacks run on it too.
class WebSocketClient {
public:
    /// Identifies a session. Handles are not reused.
    using Handle = std::uint64_t;

    /// Receives the events of the sessions.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onConnected(Handle handle) = 0;
        virtual void onMessage(Handle handle, const std::string& payload) = 0;

        /// Called when a session ended or could not be opened.
        virtual void onDisconnected(Handle handle) = 0;
    };

    /// @param loop runs the client; must outlive it
    /// @param listener receives the events; must outlive the client
    /// @param limits bounds on the memory of each session
    WebSocketClient(EventLoop& loop, Listener& listener, const WebSocketLimits& limits = WebSocketLimits());
    ~WebSocketClient();
    WebSocketClient(const WebSocketClient&) = delete;
    WebSocketClient& operator=(const WebSocketClient&) = delete;

    /// Starts to open a session.
    ///
    /// @param resource the path and query, beginning with a slash
    /// @returns the handle of the session
    Handle connect(const Endpoint& endpoint, const std::string& resource);

    /// Sends a message; does nothing when the session is closed. Drops the session of a peer that does not read.
    void send(Handle handle, const std::string& payload, bool isBinary);

    /// Closes a session immediately, without a closing handshake, and calls onDisconnected().
    void drop(Handle handle);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
