#include "PeerNetwork.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// While a response is due, an Echo is sent after this time without received data.
    constexpr Duration echoDelay = std::chrono::milliseconds(150);
    /// A link on which a response is due is dropped after this time without received data.
    constexpr Duration silenceTimeout = std::chrono::milliseconds(400);
    constexpr Duration avoidanceDuration = std::chrono::milliseconds(500);
    constexpr Duration idleTimeout = std::chrono::seconds(120);
    constexpr std::size_t maximumQueuedMessages = 10000;

    bool isControlMessage(const PeerMessage& message)
    {
        return !std::holds_alternative<HopRequest>(message) && !std::holds_alternative<HopResponse>(message);
    }

    bool expectsResponse(const PeerMessage& message)
    {
        const MembershipMessage* membership = std::get_if<MembershipMessage>(&message);
        bool isPing = membership != nullptr && membership->kind == MembershipMessage::Kind::Ping;
        return isPing || std::holds_alternative<HopRequest>(message) || std::holds_alternative<ReachabilityRequest>(message);
    }

    std::string getQueryParameter(const std::string& resource, const std::string& name)
    {
        std::size_t begin = resource.find(name + "=");
        if (begin == std::string::npos)
            return {};
        begin += name.size() + 1;
        std::size_t end = resource.find('&', begin);
        return resource.substr(begin, end == std::string::npos ? std::string::npos : end - begin);
    }

} // namespace

PeerNetwork::PeerNetwork(EventLoop& loop, const Clock& clock, Member self, Listener& listener)
    : clock(clock)
    , self(std::move(self))
    , listener(listener)
    , server(loop, *this)
    , client(loop, *this)
{
}

bool PeerNetwork::listen(const Endpoint& endpoint, Failure& failure)
{
    return this->server.listen(endpoint, failure);
}

void PeerNetwork::setMembers(std::shared_ptr<const MemberList> list)
{
    this->addresses.clear();
    for (const Member& member : *list)
        this->addresses[member.id] = member.endpoint;
}

bool PeerNetwork::send(const InstanceId& to, const PeerMessage& message)
{
    const HopRequest* hop = std::get_if<HopRequest>(&message);
    std::string payload = encodePeerMessage(message);
    if (isControlMessage(message))
        this->controlBytesSent += payload.size();

    std::map<InstanceId, WebSocketServer::Handle>::iterator incomingHandle = this->incomingByPeer.find(to);
    if (incomingHandle != this->incomingByPeer.end() && !expectsResponse(message)) {
        this->server.send(incomingHandle->second, payload, true);
        return true;
    }

    std::map<InstanceId, Link>::iterator found = this->links.find(to);
    if (found != this->links.end() && found->second.isOpen) {
        this->sendOnLink(found->second, { hop == nullptr ? 0 : hop->hop, payload, expectsResponse(message) });
        return true;
    }

    std::map<InstanceId, Endpoint>::iterator address = this->addresses.find(to);
    if (address == this->addresses.end())
        return false;

    Link& link = this->links[to];
    if (link.handle == 0) {
        link.handle = this->client.connect(address->second, "/peer?zone=" + this->self.zone.toString() + "&instance=" + this->self.id.toString());
        link.lastReceived = this->clock.now();
        this->outgoing[link.handle] = to;
    }
    if (link.queue.size() < maximumQueuedMessages)
        link.queue.push_back({ hop == nullptr ? 0 : hop->hop, payload, expectsResponse(message) });
    return true;
}

void PeerNetwork::onTick()
{
    TimePoint now = this->clock.now();
    std::vector<WebSocketClient::Handle> linksToDrop;
    for (std::pair<const InstanceId, Link>& entry : this->links) {
        Link& link = entry.second;
        bool isIdle = link.isOpen && now - link.lastSent > idleTimeout && now - link.lastReceived > idleTimeout;
        if (isIdle)
            linksToDrop.push_back(link.handle);
        if (!link.isOpen || !link.responseDueSince)
            continue;

        Duration silence = std::chrono::duration_cast<Duration>(now - std::max(*link.responseDueSince, link.lastReceived));
        if (silence >= silenceTimeout)
            linksToDrop.push_back(link.handle);
        else if (silence >= echoDelay && !link.isEchoSent) {
            link.isEchoSent = true;
            this->client.send(link.handle, encodePeerMessage(Echo { this->nextEcho++, false }), true);
        }
    }
    for (WebSocketClient::Handle handle : linksToDrop)
        this->client.drop(handle);
}

bool PeerNetwork::isAvoided(const InstanceId& instance) const
{
    std::map<InstanceId, TimePoint>::const_iterator found = this->avoidUntil.find(instance);
    return found != this->avoidUntil.end() && this->clock.now() < found->second;
}

void PeerNetwork::onSessionOpened(WebSocketServer::Handle handle, const std::string& resource)
{
    InstanceId peer(getQueryParameter(resource, "instance"));
    this->incoming[handle] = peer;
    this->incomingByPeer[peer] = handle;
}

void PeerNetwork::onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool)
{
    std::map<WebSocketServer::Handle, InstanceId>::iterator found = this->incoming.find(handle);
    if (found == this->incoming.end())
        return;

    InstanceId from = found->second;
    this->incomingByPeer[from] = handle;
    std::optional<PeerMessage> message = this->decode(from, payload);
    if (message)
        this->receive(from, *message);
}

void PeerNetwork::onSessionClosed(WebSocketServer::Handle handle)
{
    std::map<WebSocketServer::Handle, InstanceId>::iterator found = this->incoming.find(handle);
    if (found == this->incoming.end())
        return;

    std::map<InstanceId, WebSocketServer::Handle>::iterator current = this->incomingByPeer.find(found->second);
    if (current != this->incomingByPeer.end() && current->second == handle)
        this->incomingByPeer.erase(current);
    this->incoming.erase(found);
}

void PeerNetwork::onHttpRequest(WebSocketServer::Handle handle, const HttpRequest&)
{
    this->server.respond(handle, { 404, "text/plain", "this port is for peers\n" });
}

void PeerNetwork::onConnected(WebSocketClient::Handle handle)
{
    Link* link = this->findLink(handle);
    if (link == nullptr)
        return;

    const InstanceId& peer = this->outgoing[handle];
    logEvent(events::peerLinkOpened, "peer=" + peer.toString());
    this->avoidUntil.erase(peer);
    link->isOpen = true;
    link->lastReceived = this->clock.now();
    for (const Queued& queued : std::exchange(link->queue, {}))
        this->sendOnLink(*link, queued);
}

void PeerNetwork::onMessage(WebSocketClient::Handle handle, const std::string& payload)
{
    Link* link = this->findLink(handle);
    if (link == nullptr)
        return;

    link->lastReceived = this->clock.now();
    link->isEchoSent = false;
    InstanceId from = this->outgoing[handle];
    std::optional<PeerMessage> message = this->decode(from, payload);
    if (message && std::holds_alternative<HopResponse>(*message) && link->numResponsesDue > 0)
        link->numResponsesDue--;

    link->responseDueSince = std::nullopt;
    if (link->numResponsesDue > 0)
        link->responseDueSince = link->lastReceived;
    if (message)
        this->receive(from, *message);
}

void PeerNetwork::onDisconnected(WebSocketClient::Handle handle)
{
    std::map<WebSocketClient::Handle, InstanceId>::iterator found = this->outgoing.find(handle);
    if (found == this->outgoing.end())
        return;

    InstanceId peer = found->second;
    std::vector<std::uint64_t> unsent;
    Link& link = this->links[peer];
    for (const Queued& queued : link.queue) {
        if (queued.hop != 0)
            unsent.push_back(queued.hop);
    }
    bool wasOpen = link.isOpen;
    this->links.erase(peer);
    this->outgoing.erase(found);
    this->avoidUntil[peer] = this->clock.now() + avoidanceDuration;
    if (wasOpen)
        logEvent(events::peerLinkLost, "peer=" + peer.toString());
    this->listener.onPeerLost(peer, unsent);
}

std::optional<PeerMessage> PeerNetwork::decode(const InstanceId& from, const std::string& payload)
{
    Failure failure;
    std::optional<PeerMessage> message = decodePeerMessage(payload, failure);
    if (!message)
        logEvent(events::peerMessageInvalid, "peer=" + from.toString() + " reason=\"" + failure.reason + "\"");
    return message;
}

void PeerNetwork::receive(const InstanceId& from, const PeerMessage& message)
{
    const Echo* echo = std::get_if<Echo>(&message);
    if (echo == nullptr) {
        this->listener.onPeerMessage(from, message);
        return;
    }

    std::map<InstanceId, WebSocketServer::Handle>::iterator incomingHandle = this->incomingByPeer.find(from);
    if (!echo->isReply && incomingHandle != this->incomingByPeer.end())
        this->server.send(incomingHandle->second, encodePeerMessage(Echo { echo->number, true }), true);
}

void PeerNetwork::sendOnLink(Link& link, const Queued& queued)
{
    link.lastSent = this->clock.now();
    if (queued.expectsResponse && !link.responseDueSince)
        link.responseDueSince = link.lastSent;
    if (queued.hop != 0)
        link.numResponsesDue++;
    this->client.send(link.handle, queued.payload, true);
}

PeerNetwork::Link* PeerNetwork::findLink(WebSocketClient::Handle handle)
{
    std::map<WebSocketClient::Handle, InstanceId>::iterator found = this->outgoing.find(handle);
    if (found == this->outgoing.end())
        return nullptr;
    return &this->links[found->second];
}

} // namespace lentiljunction
