#include "LendingLinks.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr const char* resource = "/lending";
    constexpr int httpNotFound = 404;

    std::optional<LendingMessage> decode(const std::string& payload)
    {
        std::optional<LendingMessage> message = decodeLendingMessage(payload);
        if (!message)
            logEvent(events::peerMessageInvalid, "bytes=" + std::to_string(payload.size()) + " reason=\"not a message about a loan\"");
        return message;
    }

} // namespace

LendingLinks::LendingLinks(EventLoop& loop, Listener& listener)
    : listener(listener)
    , server(loop, *this, lendingLimits)
    , client(loop, *this, lendingLimits)
{
}

bool LendingLinks::listen(const Endpoint& endpoint, Failure& failure)
{
    return this->server.listen(endpoint, failure);
}

void LendingLinks::sendToBorrower(std::uint64_t link, const LendingMessage& message)
{
    this->server.send(link, encodeLendingMessage(message), true);
}

void LendingLinks::sendToLender(const FleetMember& lender, const LendingMessage& message)
{
    std::map<InstanceId, Link>::iterator found = this->links.find(lender.id);
    // An instance that was restarted elsewhere has another address.
    if (found != this->links.end() && found->second.endpoint != *lender.lending) {
        this->client.drop(found->second.handle);
        found = this->links.find(lender.id);
    }
    if (found == this->links.end()) {
        Link opened;
        opened.endpoint = *lender.lending;
        opened.handle = this->client.connect(*lender.lending, resource);
        this->lenders[opened.handle] = lender.id;
        found = this->links.emplace(lender.id, std::move(opened)).first;
    }
    std::string payload = encodeLendingMessage(message);
    if (found->second.isOpen)
        this->client.send(found->second.handle, payload, true);
    else
        found->second.unsentPayloads.push_back(std::move(payload));
}

bool LendingLinks::isLinkOpen(const InstanceId& lender) const
{
    std::map<InstanceId, Link>::const_iterator found = this->links.find(lender);
    return found != this->links.end() && found->second.isOpen;
}

void LendingLinks::onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool)
{
    if (std::optional<LendingMessage> message = decode(payload))
        this->listener.onBorrowerMessage(handle, *message);
}

void LendingLinks::onHttpRequest(WebSocketServer::Handle handle, const HttpRequest&)
{
    this->server.respond(handle, { httpNotFound, "text/plain", "" });
}

std::map<InstanceId, LendingLinks::Link>::iterator LendingLinks::find(WebSocketClient::Handle handle)
{
    std::map<WebSocketClient::Handle, InstanceId>::const_iterator lender = this->lenders.find(handle);
    return lender == this->lenders.end() ? this->links.end() : this->links.find(lender->second);
}

void LendingLinks::onConnected(WebSocketClient::Handle handle)
{
    std::map<InstanceId, Link>::iterator found = this->find(handle);
    if (found == this->links.end())
        return;
    found->second.isOpen = true;
    for (const std::string& payload : std::exchange(found->second.unsentPayloads, {}))
        this->client.send(handle, payload, true);
}

void LendingLinks::onMessage(WebSocketClient::Handle handle, const std::string& payload)
{
    std::map<WebSocketClient::Handle, InstanceId>::const_iterator lender = this->lenders.find(handle);
    if (lender == this->lenders.end())
        return;
    InstanceId id = lender->second;
    if (std::optional<LendingMessage> message = decode(payload))
        this->listener.onLenderMessage(id, *message);
}

void LendingLinks::onDisconnected(WebSocketClient::Handle handle)
{
    std::map<InstanceId, Link>::iterator found = this->find(handle);
    if (found == this->links.end())
        return;
    InstanceId lender = found->first;
    this->links.erase(found);
    this->lenders.erase(handle);
    this->listener.onLenderLost(lender);
}

} // namespace lentiljunction
