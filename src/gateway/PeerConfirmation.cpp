#include "PeerConfirmation.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Several attempts fit into the time for which keys stay accepted.
    constexpr std::chrono::milliseconds askInterval { 400 };
    /// Allows several round trips between regions.
    constexpr std::chrono::milliseconds peerTimeout { 300 };
    /// Allows several round trips between availability zones.
    constexpr std::chrono::milliseconds routesTimeout { 150 };
    /// The contact of another instance with the store is lost when its last confirmation is older. Confirmations pass
    /// through one instance of each zone, which adds less than half a second.
    constexpr std::chrono::milliseconds contactTimeout { 2500 };

} // namespace

PeerConfirmation::PeerConfirmation(PeerRpc& peers, const Clock& clock, RouteWatcher& routes, InstanceId self)
    : peers(peers)
    , clock(clock)
    , routes(routes)
    , self(std::move(self))
{
}

void PeerConfirmation::setMembers(const std::vector<FleetMember>& members)
{
    this->zones.clear();
    std::set<ZoneId> names;
    for (const FleetMember& member : members) {
        if (member.id == this->self)
            continue;
        this->zones[member.zone].push_back(member);
        names.insert(member.zone);
    }
    this->routes.setZones(std::move(names));
}

void PeerConfirmation::askIfNeeded()
{
    BootTime now = this->clock.bootNow();
    if (!this->routes.needsPeerConfirmation() || now - this->askedAt < askInterval)
        return;
    this->askedAt = now;
    this->next++;
    for (const std::pair<const ZoneId, std::vector<FleetMember>>& zone : this->zones)
        this->ask(zone.second[this->next % zone.second.size()]);
}

void PeerConfirmation::ask(const FleetMember& member)
{
    BootTime sentAt = this->clock.bootNow();
    this->peers.ask(member.peers, { { "ask", "routes_version" } }, peerTimeout, [this, member, sentAt](const std::optional<nlohmann::json>& response) {
        if (!response || !response->is_object())
            return;
        std::optional<RouteFreshness> freshness = decodeRouteFreshness(*response);
        if (!freshness || freshness->age >= contactTimeout)
            this->routes.onZoneWithoutStore(member.zone, sentAt);
        else if (this->routes.onPeerFreshness(*freshness, member.peers, sentAt))
            this->requestRoutes(member.peers);
    });
}

void PeerConfirmation::requestRoutes(const Endpoint& peer)
{
    this->peers.ask(peer, { { "ask", "routes" } }, routesTimeout, [this, peer](const std::optional<nlohmann::json>& relayed) {
        if (!relayed)
            return logEvent(events::routesNotReceived, "peer=" + peer.host + ":" + std::to_string(peer.port) + " reason=\"no response in time, or the link was lost\"");
        Failure failure;
        std::optional<RouteTable> table = decodeRelayedRoutes(*relayed, failure);
        if (!table)
            return logEvent(events::peerMessageInvalid, "reason=\"" + failure.reason + "\"");
        this->routes.offer(std::make_shared<RouteTable>(std::move(*table)), { RouteSource::Kind::OtherInstance, peer });
    });
}

} // namespace lentiljunction
