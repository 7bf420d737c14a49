#include "PeerConfirmation.h"

#include "lentiljunction/fleet/ZoneReader.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// The store usually responds within this time after the start.
    constexpr std::chrono::milliseconds firstAskDelay { 300 };
    /// The zone reader and those that read the store if it cannot.
    constexpr std::size_t numLikelyReaders = 3;
    /// Several attempts fit into the time for which keys stay accepted.
    constexpr std::chrono::milliseconds askInterval { 400 };
    /// Allows several round trips between regions.
    constexpr std::chrono::milliseconds peerTimeout { 300 };
    /// The contact of another instance with the store is lost when its last confirmation is older. Confirmations pass
    /// through one instance of each zone, which adds less than half a second.
    constexpr std::chrono::milliseconds contactTimeout { 2500 };

} // namespace

PeerConfirmation::PeerConfirmation(EventLoop& loop, PeerRpc& peers, const Clock& clock, RouteWatcher& routes, RouteTransfer& transfer, InstanceId self, std::vector<Endpoint> seeds)
    : peers(peers)
    , clock(clock)
    , routes(routes)
    , transfer(transfer)
    , self(std::move(self))
    , seeds(std::move(seeds))
    , timer(loop, clock, [this] { this->check(); })
{
}

void PeerConfirmation::start()
{
    this->timer.setTime(this->clock.now() + firstAskDelay);
}

void PeerConfirmation::setMembers(const std::vector<FleetMember>& members)
{
    this->zones.clear();
    std::vector<FleetMember> others;
    std::set<ZoneId> names;
    for (const FleetMember& member : members) {
        if (member.id == this->self)
            continue;
        others.push_back(member);
        names.insert(member.zone);
    }
    for (const ZoneId& name : names)
        this->zones[name] = rankZoneReaders(others, name);
    this->routes.setZones(std::move(names));
}

void PeerConfirmation::check()
{
    BootTime now = this->clock.bootNow();
    BootTime neededAt = this->routes.getOtherInstancesNeededAt();
    if (neededAt <= now)
        this->askAll();
    BootClock::duration delay = std::max<BootClock::duration>(neededAt - now, askInterval);
    this->timer.setTime(this->clock.now() + std::chrono::duration_cast<Duration>(delay));
}

void PeerConfirmation::askNow()
{
    if (this->clock.bootNow() - this->askedAt < askInterval)
        return;
    this->askAll();
}

void PeerConfirmation::askAll()
{
    this->askedAt = this->clock.bootNow();
    this->next++;
    // Responses may be processed while the requests are sent.
    this->numPending++;
    if (this->zones.empty() && !this->seeds.empty())
        this->ask(this->seeds[this->next % this->seeds.size()], std::nullopt);
    for (const std::pair<const ZoneId, std::vector<FleetMember>>& zone : this->zones)
        this->ask(this->choose(zone.second).peers, zone.first);
    if (--this->numPending == 0)
        this->routes.onOtherInstancesAsked();
}

const FleetMember& PeerConfirmation::choose(const std::vector<FleetMember>& members) const
{
    // Every other request goes to one of those that most likely have a proof, the rest to all in turn.
    std::size_t round = this->next / 2;
    return members[round % (this->next % 2 == 0 ? std::min(numLikelyReaders, members.size()) : members.size())];
}

void PeerConfirmation::ask(const Endpoint& peer, const std::optional<ZoneId>& zone)
{
    this->numPending++;
    BootTime sentAt = this->clock.bootNow();
    this->peers.ask(peer, { { "ask", "routes_version" } }, peerTimeout, [this, peer, zone, sentAt](const std::optional<nlohmann::json>& response) {
        this->numPending--;
        if (response && response->is_object())
            this->onResponse(*response, peer, zone, sentAt);
        if (this->numPending == 0)
            this->routes.onOtherInstancesAsked();
    });
}

void PeerConfirmation::onResponse(const nlohmann::json& response, const Endpoint& peer, const std::optional<ZoneId>& zone, BootTime sentAt)
{
    std::optional<RouteFreshness> freshness = decodeRouteFreshness(response);
    if (freshness && freshness->age < contactTimeout) {
        if (this->routes.onPeerFreshness(*freshness, peer, sentAt))
            this->transfer.request(peer, freshness->version);
        return;
    }
    // An instance that is behind may have contact with the store.
    if (zone && !response.contains("behind"))
        this->routes.onZoneWithoutStore(*zone, sentAt);
}

} // namespace lentiljunction
