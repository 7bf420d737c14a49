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

/// The links to other instances.
///
/// A link is opened when something is to be sent, and used in both directions. A link on which an
/// answer is due and nothing arrives is tested with an Echo and dropped when that is not answered
/// either, because open connections can go silent for good while new ones work.
///
/// Belongs to the traffic thread.
class PeerNetwork : private WebSocketServer::Listener, private WebSocketClient::Listener {
public:
    /// Is told what arrives.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// @param from the sender, as it named itself when the link was opened
        virtual void onPeerMessage(const InstanceId& from, const PeerMessage& message) = 0;

        /// The link broke: answers that were due on it will not come.
        ///
        /// @param unsentHops the hops that certainly never left this instance
        virtual void onPeerLost(const InstanceId& instance, const std::vector<std::uint64_t>& unsentHops) = 0;
    };

    /// @param loop the traffic loop; must outlive this object
    /// @param clock the source of time; must outlive this object
    /// @param self this instance
    /// @param listener told what arrives; must outlive this object
    PeerNetwork(EventLoop& loop, const Clock& clock, Member self, Listener& listener);

    /// Opens the port for peers.
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Takes the addresses of a newer member list.
    void setMembers(std::shared_ptr<const MemberList> list);

    /// Sends a message, opening a link when there is none.
    ///
    /// @returns whether the address of the instance is known
    bool send(const InstanceId& to, const PeerMessage& message);

    /// Tests links on which an answer is due; call it every few ten milliseconds.
    void onTick();

    /// @returns whether the last attempt to reach the instance failed a moment ago
    bool isAvoided(const InstanceId& instance) const;

    /// @returns bytes sent for membership and bundles since the start
    std::uint64_t getControlBytesSent() const { return this->controlBytesSent; }

private:
    struct Queued {
        std::uint64_t hop = 0;
        std::string payload;
        bool wantsAnswer = false;
    };

    struct Link {
        WebSocketClient::Handle handle = 0;
        bool isOpen = false;
        std::deque<Queued> queue;
        TimePoint lastReceived;
        TimePoint lastSent;
        /// When the oldest message that wants an answer was sent.
        std::optional<TimePoint> answerDueSince;
        /// Requests sent on this link whose answers are still due.
        std::size_t numHopsDue = 0;
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
