#pragma once

#include "../net/WebSocketClient.h"
#include "../net/WebSocketServer.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/quota/QuotaMessage.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lentiljunction {

/// The links between instances that decide on limits: CBOR messages over WebSocket.
///
/// The first message to a coordinator opens a link, which is then reused. A link that does not open is dropped when
/// too many messages wait for it.
///
/// Use only on the event loop's thread; callbacks run on it too.
class QuotaLinks : private WebSocketServer::Listener, private WebSocketClient::Listener {
public:
    /// Receives messages and the loss of links.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onClientMessage(std::uint64_t link, const QuotaMessage& message) = 0;
        virtual void onClientLost(std::uint64_t link) = 0;
        virtual void onCoordinatorMessage(const InstanceId& coordinator, const QuotaMessage& message) = 0;
        virtual void onCoordinatorLost(const InstanceId& coordinator) = 0;
    };

    /// @param loop runs the links; must outlive this object
    /// @param listener must outlive this object
    QuotaLinks(EventLoop& loop, Listener& listener);

    /// Opens the port for clients.
    ///
    /// @param failure set when the port cannot be opened
    bool listen(const Endpoint& endpoint, Failure& failure) { return this->server.listen(endpoint, failure); }

    void sendToClient(std::uint64_t link, const QuotaMessage& message) { this->server.send(link, encodeQuotaMessage(message), true); }
    void sendToCoordinator(const FleetMember& coordinator, const QuotaMessage& message);

    /// Closes the link to a coordinator, if there is one.
    void drop(const InstanceId& coordinator);

private:
    struct Link {
        Endpoint endpoint;
        WebSocketClient::Handle handle = 0;
        bool isOpen = false;
        std::vector<std::string> unsentPayloads;
    };

    void onSessionOpened(WebSocketServer::Handle, const std::string&) override { }
    void onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool isBinary) override;
    void onSessionClosed(WebSocketServer::Handle handle) override { this->listener.onClientLost(handle); }
    void onHttpRequest(WebSocketServer::Handle handle, const HttpRequest& request) override;
    void onConnected(WebSocketClient::Handle handle) override;
    void onMessage(WebSocketClient::Handle handle, const std::string& payload) override;
    void onDisconnected(WebSocketClient::Handle handle) override;
    std::map<InstanceId, Link>::iterator open(const FleetMember& coordinator);
    std::map<InstanceId, Link>::iterator find(WebSocketClient::Handle handle);

    Listener& listener;
    WebSocketServer server;
    WebSocketClient client;
    std::map<InstanceId, Link> links;
    std::map<WebSocketClient::Handle, InstanceId> coordinators;
};

} // namespace lentiljunction
