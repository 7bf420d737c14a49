#pragma once

#include "../net/WebSocketClient.h"
#include "../net/WebSocketServer.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/membership/Membership.h"
#include "lentiljunction/peer/PeerMessage.h"

#include <deque>
#include <map>
#include <memory>

namespace lentiljunction {

/// The WebSocket links to other instances.
///
/// A link is opened by the first message and carries messages in both directions. When a response is
/// due and nothing is received, an Echo is sent; if that gets no reply either, the link is dropped.
/// An established connection can stop delivering data for good while new connections still work.
///
/// Use only on the traffic thread; the listener is called on it too.
class PeerNetwork : private WebSocketServer::Listener, private WebSocketClient::Listener {
public:
    /// Receives messages and lost links.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// @param from the sender, as it identified itself when it opened the link
        virtual void onPeerMessage(const InstanceId& from, const PeerMessage& message) = 0;

        /// Called when the link to an instance is lost; pending responses on it will not arrive.
        ///
        /// @param unsentHops the hops whose requests were certainly not sent
        virtual void onPeerLost(const InstanceId& instance, const std::vector<std::uint64_t>& unsentHops) = 0;
    };

    /// @param loop the traffic loop; must outlive this object
    /// @param clock the time source; must outlive this object
    /// @param self this instance
    /// @param listener receives messages and lost links; must outlive this object
    PeerNetwork(EventLoop& loop, const Clock& clock, Member self, Listener& listener);

    /// Opens the port for peers.
    ///
    /// @param failure set when the port cannot be opened
    /// @returns whether the port is open
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Replaces the addresses of the instances by those of a newer member list.
    void setMembers(std::shared_ptr<const MemberList> list);

    /// Sends a message; opens a link if there is none.
    ///
    /// @returns whether the address of the instance is known
    bool send(const InstanceId& to, const PeerMessage& message);

    /// Drops idle links and checks links on which a response is due. Call it every few tens of
    /// milliseconds.
    void onTick();

    /// @returns whether a link to the instance was lost or could not be opened within the last 500 ms
    bool isAvoided(const InstanceId& instance) const;

    /// @returns the bytes sent since the start in messages other than hops, for example membership and
    /// bundles
    std::uint64_t getControlBytesSent() const { return this->controlBytesSent; }

private:
    struct Queued {
        std::uint64_t hop = 0;
        std::string payload;
        bool expectsResponse = false;
    };

    struct Link {
        WebSocketClient::Handle handle = 0;
        bool isOpen = false;
        std::deque<Queued> queue;
        TimePoint lastReceived;
        TimePoint lastSent;
        /// When the oldest message that still expects a response was sent.
        std::optional<TimePoint> responseDueSince;
        /// The number of hop requests sent on this link whose responses are still due.
        std::size_t numResponsesDue = 0;
        bool isEchoSent = false;
    };

    void onSessionOpened(WebSocketServer::Handle handle, const std::string& resource) override;
    void onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool isBinary) override;
    void onSessionClosed(WebSocketServer::Handle handle) override;
    void onHttpRequest(WebSocketServer::Handle handle, const HttpRequest& request) override;
    void onConnected(WebSocketClient::Handle handle) override;
    void onMessage(WebSocketClient::Handle handle, const std::string& payload) override;
    void onDisconnected(WebSocketClient::Handle handle) override;

    std::optional<PeerMessage> decode(const InstanceId& from, const std::string& payload);
    void receive(const InstanceId& from, const PeerMessage& message);
    void sendOnLink(Link& link, const Queued& queued);
    Link* findLink(WebSocketClient::Handle handle);

    const Clock& clock;
    Member self;
    Listener& listener;
    WebSocketServer server;
    WebSocketClient client;
    std::map<InstanceId, Endpoint> addresses;
    std::map<InstanceId, Link> links;
    std::map<WebSocketClient::Handle, InstanceId> outgoing;
    std::map<WebSocketServer::Handle, InstanceId> incoming;
    std::map<InstanceId, WebSocketServer::Handle> incomingByPeer;
    std::map<InstanceId, TimePoint> avoidUntil;
    std::uint64_t controlBytesSent = 0;
    std::uint64_t nextEcho = 1;
};

} // namespace lentiljunction
