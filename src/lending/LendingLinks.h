#pragma once

#include "../net/WebSocketClient.h"
#include "../net/WebSocketServer.h"
#include "LendingMessage.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lentiljunction {

/// The links between instances that lend and borrow connections: CBOR messages over WebSocket.
///
/// The first message to a lender opens a link, which is then reused. A link is closed by its peer or when the
/// system reports it dead, not because one answer is late: it carries the statements of many sessions.
///
/// Use only on the event loop's thread; callbacks run on it too.
class LendingLinks : private WebSocketServer::Listener, private WebSocketClient::Listener {
public:
    /// Receives messages and the loss of links.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onBorrowerMessage(std::uint64_t link, const LendingMessage& message) = 0;
        virtual void onBorrowerLost(std::uint64_t link) = 0;
        virtual void onLenderMessage(const InstanceId& lender, const LendingMessage& message) = 0;
        virtual void onLenderLost(const InstanceId& lender) = 0;
    };

    /// @param loop runs the links; must outlive this object
    /// @param listener must outlive this object
    LendingLinks(EventLoop& loop, Listener& listener);

    /// Opens the port for borrowers.
    ///
    /// @param failure set when the port cannot be opened
    bool listen(const Endpoint& endpoint, Failure& failure);

    void sendToBorrower(std::uint64_t link, const LendingMessage& message);
    void sendToLender(const FleetMember& lender, const LendingMessage& message);
    bool isLinkOpen(const InstanceId& lender) const;

    /// @returns the bytes that borrowers have not received yet
    std::size_t countUnsentBytes() const { return this->server.countBufferedBytes(); }

private:
    struct Link {
        Endpoint endpoint;
        WebSocketClient::Handle handle = 0;
        bool isOpen = false;
        std::vector<std::string> unsentPayloads;
    };

    void onSessionOpened(WebSocketServer::Handle, const std::string&) override { }
    void onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool isBinary) override;
    void onSessionClosed(WebSocketServer::Handle handle) override { this->listener.onBorrowerLost(handle); }
    void onHttpRequest(WebSocketServer::Handle handle, const HttpRequest& request) override;
    void onConnected(WebSocketClient::Handle handle) override;
    void onMessage(WebSocketClient::Handle handle, const std::string& payload) override;
    void onDisconnected(WebSocketClient::Handle handle) override;
    std::map<InstanceId, Link>::iterator find(WebSocketClient::Handle handle);

    Listener& listener;
    WebSocketServer server;
    WebSocketClient client;
    std::map<InstanceId, Link> links;
    std::map<WebSocketClient::Handle, InstanceId> lenders;
};

} // namespace lentiljunction
