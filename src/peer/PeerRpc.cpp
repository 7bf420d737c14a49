#include "PeerRpc.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr const char* resource = "/peer";
    constexpr int httpNotFound = 404;

    std::string toKey(const Endpoint& endpoint)
    {
        return endpoint.host + ":" + std::to_string(endpoint.port);
    }

    std::string encode(const nlohmann::json& message)
    {
        std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(message);
        return std::string(bytes.begin(), bytes.end());
    }

    /// @returns a message with its number, or nothing when the bytes cannot be read
    std::optional<nlohmann::json> decode(const std::string& payload)
    {
        nlohmann::json message = nlohmann::json::from_cbor(payload, true, false);
        if (message.is_object() && message.contains("number") && message["number"].is_number_unsigned() && message.contains("body"))
            return message;
        logEvent(events::peerMessageInvalid, "bytes=" + std::to_string(payload.size()));
        return std::nullopt;
    }

} // namespace

PeerRpc::PeerRpc(EventLoop& loop, const Clock& clock, Listener& listener)
    : clock(clock)
    , listener(listener)
    , server(loop, *this)
    , client(loop, *this)
    , timer(loop, clock, [this] { this->expire(); })
{
}

bool PeerRpc::listen(const Endpoint& endpoint, Failure& failure)
{
    return this->server.listen(endpoint, failure);
}

void PeerRpc::ask(const Endpoint& peer, nlohmann::json question, Duration timeout, AnswerCallback callback)
{
    std::string key = toKey(peer);
    std::uint64_t number = this->nextQuestion++;
    TimePoint deadline = this->clock.now() + timeout;
    this->pending[number] = { std::move(callback), deadline, key };
    this->timer.setTimeIfEarlier(deadline);

    std::string payload = encode({ { "number", number }, { "body", std::move(question) } });
    this->numBytesSent += payload.size();
    Link& link = this->links[key];
    if (link.isOpen)
        return this->client.send(link.handle, payload, true);
    link.waiting.push_back(std::move(payload));
    if (link.handle == 0)
        link.handle = this->client.connect(peer, resource);
}

void PeerRpc::onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool)
{
    std::optional<nlohmann::json> message = decode(payload);
    if (!message)
        return;
    std::uint64_t number = (*message)["number"];
    // A field of another type than expected ends the handling of the message, and nothing else.
    try {
        this->listener.onPeerRequest((*message)["body"], [this, handle, number](const nlohmann::json& answer) {
            std::string answered = encode({ { "number", number }, { "body", answer } });
            this->numBytesSent += answered.size();
            this->server.send(handle, answered, true);
        });
    } catch (const nlohmann::json::exception& error) {
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
        if (this->reachable.insert(entry.first).second)
            logEvent(events::peerLinkOpened, "peer=" + entry.first);
        for (const std::string& payload : std::exchange(entry.second.waiting, {}))
            this->client.send(handle, payload, true);
    }
}

void PeerRpc::onMessage(WebSocketClient::Handle, const std::string& payload)
{
    std::optional<nlohmann::json> message = decode(payload);
    if (!message)
        return;
    std::map<std::uint64_t, Pending>::iterator found = this->pending.find((*message)["number"]);
    if (found == this->pending.end())
        return;
    AnswerCallback callback = std::move(found->second.callback);
    this->pending.erase(found);
    try {
        callback((*message)["body"]);
    } catch (const nlohmann::json::exception& error) {
        logEvent(events::peerMessageInvalid, std::string("reason=\"") + error.what() + "\"");
        callback(std::nullopt);
    }
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
    if (this->reachable.erase(key) > 0)
        logEvent(events::peerLinkLost, "peer=" + key);
    std::vector<AnswerCallback> lost;
    for (std::map<std::uint64_t, Pending>::iterator entry = this->pending.begin(); entry != this->pending.end();) {
        if (entry->second.peer != key) {
            ++entry;
            continue;
        }
        lost.push_back(std::move(entry->second.callback));
        entry = this->pending.erase(entry);
    }
    for (const AnswerCallback& callback : lost)
        callback(std::nullopt);
}

void PeerRpc::expire()
{
    TimePoint now = this->clock.now();
    std::vector<WebSocketClient::Handle> silent;
    for (const std::pair<const std::uint64_t, Pending>& entry : this->pending) {
        std::map<std::string, Link>::iterator link = this->links.find(entry.second.peer);
        if (entry.second.deadline <= now && link != this->links.end())
            silent.push_back(link->second.handle);
    }
    // Dropping a link ends all questions on it.
    for (WebSocketClient::Handle handle : silent)
        this->client.drop(handle);
    for (const std::pair<const std::uint64_t, Pending>& entry : this->pending)
        this->timer.setTimeIfEarlier(entry.second.deadline);
}

} // namespace lentiljunction
