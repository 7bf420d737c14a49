#pragma once

#include "../net/OneShotTimer.h"
#include "../net/WebSocketClient.h"
#include "../net/WebSocketServer.h"
#include "PendingRequests.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace lentiljunction {

/// Requests and responses between instances: CBOR messages over WebSocket. Each names the version of its sender's
/// configuration, so that every message can tell an instance that its own is out of date.
///
/// The first request to an instance opens a link, which is then reused. When a request times out, its
/// link is dropped, because an open connection may never deliver data again. It is kept while an earlier request on it
/// still has time: the response to that one, such as a long list, may delay the others.
///
/// Use only on the event loop's thread; callbacks run on it too.
class PeerRpc : private WebSocketServer::Listener, private WebSocketClient::Listener {
public:
    /// @param response nothing when the request timed out or its link was lost
    using ResponseCallback = std::function<void(std::optional<nlohmann::json> response)>;
    /// Sends the response to a request. Call it once, immediately or later.
    using Responder = std::function<void(const nlohmann::json& response)>;

    /// Handles the requests of other instances.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onPeerRequest(const nlohmann::json& request, const Responder& respond) = 0;

        /// @returns the version of the configuration that every message to other instances names, if there is one
        virtual std::optional<BundleVersion> getConfigurationVersion() const = 0;

        /// Another instance named the version of its configuration.
        ///
        /// @param peer where it listens for other instances; nothing when it sent a request
        virtual void onConfigurationVersion(BundleVersion version, const std::optional<Endpoint>& peer) = 0;
    };

    /// @param loop runs the links; must outlive this object
    /// @param clock the time source; must outlive this object
    /// @param listener handles incoming requests; must outlive this object
    PeerRpc(EventLoop& loop, const Clock& clock, Listener& listener);

    /// Opens the port for other instances.
    ///
    /// @param failure set when the port cannot be opened
    /// @returns whether the port is open
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Sends a request to another instance.
    ///
    /// @param timeout the time limit for the response
    void ask(const Endpoint& peer, nlohmann::json request, Duration timeout, ResponseCallback callback);

    /// @returns the bytes of payload sent to other instances since the start
    std::uint64_t getNumBytesSent() const { return this->numBytesSent; }

    /// @returns the bytes of responses that wait for other instances to receive them
    std::size_t countQueuedBytes() const { return this->server.countBufferedBytes(); }

private:
    struct PendingRequest {
        ResponseCallback callback;
        Endpoint endpoint;
    };

    struct Link {
        WebSocketClient::Handle handle = 0;
        bool isOpen = false;
        std::vector<std::string> unsentPayloads;
    };

    void onSessionOpened(WebSocketServer::Handle, const std::string&) override { }
    void onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool isBinary) override;
    void onSessionClosed(WebSocketServer::Handle) override { }
    void onHttpRequest(WebSocketServer::Handle handle, const HttpRequest& request) override;
    void onConnected(WebSocketClient::Handle handle) override;
    void onMessage(WebSocketClient::Handle handle, const std::string& payload) override;
    void onDisconnected(WebSocketClient::Handle handle) override;
    void expireRequests();
    void failRequests(const std::vector<std::uint64_t>& numbers);
    std::string encode(std::uint64_t number, nlohmann::json body) const;
    void processVersion(const nlohmann::json& message, const std::optional<Endpoint>& peer);

    const Clock& clock;
    Listener& listener;
    WebSocketServer server;
    WebSocketClient client;
    OneShotTimer timer;
    std::map<std::string, Link> links;
    /// Peers whose link was logged as open; the loss of the link is logged once.
    std::set<std::string> connectedPeers;
    PendingRequests deadlines;
    std::map<std::uint64_t, PendingRequest> pending;
    std::uint64_t nextRequestNumber = 1;
    std::uint64_t numBytesSent = 0;
};

} // namespace lentiljunction
