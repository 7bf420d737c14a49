#include "QuotaLinks.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr const char* resource = "/quota";
    constexpr int httpNotFound = 404;
    /// The messages of a few seconds. An address that does not respond would collect them without end.
    constexpr std::size_t maximumUnsentPayloads = 256;

    std::optional<QuotaMessage> decode(const std::string& payload)
    {
        std::optional<QuotaMessage> message = decodeQuotaMessage(payload);
        if (!message)
            logEvent(events::quotaMessageInvalid, "bytes=" + std::to_string(payload.size()));
        return message;
    }

} // namespace

QuotaLinks::QuotaLinks(EventLoop& loop, Listener& listener)
    : listener(listener)
    , server(loop, *this, quotaLimits)
    , client(loop, *this, quotaLimits)
{
}

std::map<InstanceId, QuotaLinks::Link>::iterator QuotaLinks::open(const FleetMember& coordinator)
{
    std::map<InstanceId, Link>::iterator found = this->links.find(coordinator.id);
    // An instance that was restarted elsewhere has another address.
    bool isUseless = found != this->links.end() && (found->second.endpoint != *coordinator.quota || found->second.unsentPayloads.size() >= maximumUnsentPayloads);
    if (isUseless) {
        this->client.drop(found->second.handle);
        found = this->links.find(coordinator.id);
    }
    if (found != this->links.end())
        return found;
    Link opened;
    opened.endpoint = *coordinator.quota;
    opened.handle = this->client.connect(*coordinator.quota, resource);
    this->coordinators[opened.handle] = coordinator.id;
    return this->links.emplace(coordinator.id, std::move(opened)).first;
}

void QuotaLinks::sendToCoordinator(const FleetMember& coordinator, const QuotaMessage& message)
{
    if (!coordinator.quota)
        return;
    Link& link = this->open(coordinator)->second;
    std::string payload = encodeQuotaMessage(message);
    if (link.isOpen)
        this->client.send(link.handle, payload, true);
    else
        link.unsentPayloads.push_back(std::move(payload));
}

void QuotaLinks::drop(const InstanceId& coordinator)
{
    std::map<InstanceId, Link>::const_iterator found = this->links.find(coordinator);
    if (found != this->links.end())
        this->client.drop(found->second.handle);
}

void QuotaLinks::onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool)
{
    if (std::optional<QuotaMessage> message = decode(payload))
        this->listener.onClientMessage(handle, *message);
}

void QuotaLinks::onHttpRequest(WebSocketServer::Handle handle, const HttpRequest&)
{
    this->server.respond(handle, { httpNotFound, "text/plain", "" });
}

std::map<InstanceId, QuotaLinks::Link>::iterator QuotaLinks::find(WebSocketClient::Handle handle)
{
    std::map<WebSocketClient::Handle, InstanceId>::const_iterator coordinator = this->coordinators.find(handle);
    return coordinator == this->coordinators.end() ? this->links.end() : this->links.find(coordinator->second);
}

void QuotaLinks::onConnected(WebSocketClient::Handle handle)
{
    std::map<InstanceId, Link>::iterator found = this->find(handle);
    if (found == this->links.end())
        return;
    found->second.isOpen = true;
    for (const std::string& payload : std::exchange(found->second.unsentPayloads, {}))
        this->client.send(handle, payload, true);
}

void QuotaLinks::onMessage(WebSocketClient::Handle handle, const std::string& payload)
{
    std::map<InstanceId, Link>::iterator found = this->find(handle);
    if (found == this->links.end())
        return;
    InstanceId id = found->first;
    if (std::optional<QuotaMessage> message = decode(payload))
        this->listener.onCoordinatorMessage(id, *message);
}

void QuotaLinks::onDisconnected(WebSocketClient::Handle handle)
{
    std::map<InstanceId, Link>::iterator found = this->find(handle);
    if (found == this->links.end())
        return;
    InstanceId coordinator = found->first;
    this->links.erase(found);
    this->coordinators.erase(handle);
    this->listener.onCoordinatorLost(coordinator);
}

} // namespace lentiljunction
