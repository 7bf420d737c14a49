#include "PeerRpc.h"

#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr const char* resource = "/peer";
    constexpr int httpNotFound = 404;
    /// Takes 50 ms on a link of 10 Mbit/s.
    constexpr std::size_t longQueueBytes = 64U << 10;

    std::string toKey(const Endpoint& endpoint)
    {
        return endpoint.host + ":" + std::to_string(endpoint.port);
    }

    /// @returns a message with a number and a body, or nothing when the bytes are malformed
    std::optional<nlohmann::json> decode(const std::string& payload)
    {
        nlohmann::json message = parseCbor(payload);
        if (message.is_object() && message.contains("number") && message["number"].is_number_unsigned() && message.contains("body"))
            return message;
        logEvent(events::peerMessageInvalid, "bytes=" + std::to_string(payload.size()));
        return std::nullopt;
    }

} // namespace

PeerRpc::PeerRpc(EventLoop& loop, const Clock& clock, Listener& listener)
    : clock(clock)
    , listener(listener)
    , server(loop, *this, peerLimits)
    , client(loop, *this, peerLimits)
    , timer(loop, clock, [this] { this->expireRequests(); })
    , deadlines(clock)
{
}

bool PeerRpc::listen(const Endpoint& endpoint, Failure& failure)
{
    return this->server.listen(endpoint, failure);
}

void PeerRpc::ask(const Endpoint& peer, nlohmann::json request, Duration timeout, ResponseCallback callback)
{
    std::string key = toKey(peer);
    std::uint64_t number = this->nextRequestNumber++;
    this->pending[number] = { std::move(callback), peer };
    this->deadlines.add(number, key, timeout);
    this->timer.setTimeIfEarlier(this->clock.now() + timeout);

    std::string payload = this->encode(number, std::move(request));
    this->numBytesSent += payload.size();
    Link& link = this->links[key];
    if (link.isOpen)
        return this->client.send(link.handle, payload, true);
    link.unsentPayloads.push_back(std::move(payload));
    if (link.handle == 0)
        link.handle = this->client.connect(peer, resource);
}

void PeerRpc::onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool)
{
    std::optional<nlohmann::json> message = decode(payload);
    if (!message)
        return;
    std::uint64_t number = (*message)["number"];
    this->processVersion(*message, std::nullopt);
    // A field of an unexpected type throws; the malformed request is dropped and the link stays open.
    try {
        this->listener.onPeerRequest((*message)["body"], [this, handle, number](const nlohmann::json& response) {
            std::string responsePayload = this->encode(number, response);
            this->numBytesSent += responsePayload.size();
            this->server.send(handle, responsePayload, true);
            std::size_t queued = this->server.getBufferedBytes(handle);
            if (queued > longQueueBytes)
                logEvent(events::peerQueueLong, "bytes=" + std::to_string(queued) + " message=" + std::to_string(responsePayload.size()));
        });
    } catch (const std::exception& error) {
        logEvent(events::peerMessageInvalid, std::string("reason=\"") + error.what() + "\"");
    }
}

void PeerRpc::onHttpRequest(WebSocketServer::Handle handle, const HttpRequest&)
{
    this->server.respond(handle, { httpNotFound, "text/plain", "" });
}

void PeerRpc::onConnected(WebSocketClient::Handle handle)
{
    for (std::pair<const std::string, Link>& entry : this->links) {
        if (entry.second.handle != handle)
            continue;
        entry.second.isOpen = true;
        if (this->connectedPeers.insert(entry.first).second)
            logEvent(events::peerLinkOpened, "peer=" + entry.first);
        for (const std::string& payload : std::exchange(entry.second.unsentPayloads, {}))
            this->client.send(handle, payload, true);
    }
}

void PeerRpc::onMessage(WebSocketClient::Handle handle, const std::string& payload)
{
    for (const std::pair<const std::string, Link>& entry : this->links) {
        if (entry.second.handle == handle)
            this->deadlines.onReceived(entry.first);
    }
    std::optional<nlohmann::json> message = decode(payload);
    if (!message)
        return;
    std::map<std::uint64_t, PendingRequest>::iterator found = this->pending.find((*message)["number"]);
    if (found == this->pending.end())
        return;
    ResponseCallback callback = std::move(found->second.callback);
    Endpoint peer = std::move(found->second.endpoint);
    this->pending.erase(found);
    this->deadlines.onResponse((*message)["number"]);
    try {
        callback((*message)["body"]);
    } catch (const std::exception& error) {
        logEvent(events::peerMessageInvalid, std::string("reason=\"") + error.what() + "\"");
        callback(std::nullopt);
    }
    this->processVersion(*message, peer);
}

std::string PeerRpc::encode(std::uint64_t number, nlohmann::json body) const
{
    nlohmann::json message { { "number", number }, { "body", std::move(body) } };
    std::optional<BundleVersion> version = this->listener.getConfigurationVersion();
    if (version)
        message["version"] = version->value();
    return toCbor(message);
}

void PeerRpc::processVersion(const nlohmann::json& message, const std::optional<Endpoint>& peer)
{
    nlohmann::json::const_iterator version = message.find("version");
    if (version != message.end() && version->is_number_unsigned())
        this->listener.onConfigurationVersion(BundleVersion(version->get<std::uint64_t>()), peer);
}

void PeerRpc::onDisconnected(WebSocketClient::Handle handle)
{
    std::string key;
    for (std::map<std::string, Link>::iterator link = this->links.begin(); link != this->links.end(); ++link) {
        if (link->second.handle != handle)
            continue;
        key = link->first;
        this->links.erase(link);
        break;
    }
    if (key.empty())
        return;
    if (this->connectedPeers.erase(key) > 0)
        logEvent(events::peerLinkLost, "peer=" + key);
    this->failRequests(this->deadlines.takeAll(key));
}

void PeerRpc::failRequests(const std::vector<std::uint64_t>& numbers)
{
    std::vector<ResponseCallback> callbacks;
    for (std::uint64_t number : numbers) {
        std::map<std::uint64_t, PendingRequest>::iterator found = this->pending.find(number);
        callbacks.push_back(std::move(found->second.callback));
        this->pending.erase(found);
    }
    for (const ResponseCallback& callback : callbacks)
        callback(std::nullopt);
}

void PeerRpc::expireRequests()
{
    PendingRequests::Expiry expiry = this->deadlines.expire();
    for (const std::string& peer : expiry.lostPeers) {
        std::map<std::string, Link>::iterator link = this->links.find(peer);
        if (link != this->links.end())
            this->client.drop(link->second.handle);
    }
    this->failRequests(expiry.failedRequests);
    std::optional<TimePoint> next = this->deadlines.getNextDeadline();
    if (next)
        this->timer.setTimeIfEarlier(*next);
}

} // namespace lentiljunction
