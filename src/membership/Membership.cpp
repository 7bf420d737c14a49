#include "lentiljunction/membership/Membership.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration probePeriod = std::chrono::seconds(1);
    /// A probe without an answer is repeated through other members after this time.
    constexpr Duration directTimeout = std::chrono::milliseconds(300);
    constexpr Duration probeTimeout = std::chrono::milliseconds(900);
    constexpr Duration suspicionTimeout = std::chrono::seconds(3);
    /// A dead member is kept for this time, so that late gossip about it does not add it again.
    constexpr Duration deadRetention = std::chrono::hours(1);
    constexpr std::size_t maximumIndirectProbes = 3;
    /// With more queued changes than this, digests differ anyway until the changes have spread, so no
    /// digests of zones are sent.
    constexpr std::size_t maximumQueuedUpdates = 2;
    /// After this many consecutive failed probes in another zone, a relay probes members of that zone in
    /// bursts, which double with each further failure until a member answers.
    constexpr int failuresBeforeZoneSuspicion = 2;
    constexpr int maximumZoneFailures = 5;
    constexpr std::size_t relaysPerZone = 2;

} // namespace

Membership::Membership(Member self, const std::vector<SeedPeer>& seeds, std::uint64_t randomSeed, TimePoint now)
    : self(std::move(self))
    , random(randomSeed)
    , nextPeriod(now)
{
    this->table.store(this->self);
    this->addSeeds(seeds);
    this->enqueueUpdate(this->self);
}

void Membership::addSeeds(const std::vector<SeedPeer>& seeds)
{
    for (const SeedPeer& seed : seeds) {
        if (this->table.find(seed.id) != nullptr)
            continue;
        this->table.store(Member { seed.id, seed.zone, seed.endpoint, MemberState::Alive, Incarnation() });
    }
}

std::vector<Membership::Outgoing> Membership::onTick(TimePoint now)
{
    std::vector<Outgoing> out;
    this->advanceProbes(now, out);
    this->expireSuspicions(now);
    this->removeDead(now);
    if (now < this->nextPeriod)
        return out;

    Duration jitter(static_cast<Duration::rep>(this->random.below(probePeriod.count() / 10)));
    this->nextPeriod = now + probePeriod + jitter;
    this->startProbe(this->probeOrder.nextInZone(this->self, this->table, this->random), now, out);
    if (!this->isRelay())
        return out;

    this->startProbe(this->probeOrder.nextInOtherZone(this->self, this->table, this->random), now, out);
    for (const InstanceId& target : this->chooseSuspectZoneTargets())
        this->startProbe(target, now, out);
    return out;
}

std::vector<Membership::Outgoing> Membership::onMessage(const InstanceId& from, const MembershipMessage& message, TimePoint now)
{
    std::vector<Outgoing> out;
    // Other instances receive the content of a Sync through digests as well, so it is not gossiped.
    Propagation propagation = message.kind == MembershipMessage::Kind::Sync ? Propagation::None : Propagation::ByProbes;
    for (const Member& update : message.updates)
        this->apply(update, now, propagation);

    switch (message.kind) {
    case MembershipMessage::Kind::Ping:
        this->onPing(from, message, out);
        break;
    case MembershipMessage::Kind::Ack:
        this->onAck(from, message, out);
        break;
    case MembershipMessage::Kind::PingRequest: {
        std::uint64_t sequence = this->nextSequence++;
        this->relayedPings[sequence] = { from, message.sequence, now };
        out.push_back({ message.target, this->makeMessage(MembershipMessage::Kind::Ping, sequence) });
        break;
    }
    case MembershipMessage::Kind::Sync:
        this->hasReceivedSync = true;
        this->sendDifferingZones(from, message, false, out);
        break;
    case MembershipMessage::Kind::Announcement:
        break;
    }
    return out;
}

void Membership::onPing(const InstanceId& from, const MembershipMessage& message, std::vector<Outgoing>& out)
{
    // While gossip is still spreading, differing digests do not require an exchange.
    MembershipMessage ack = this->makeMessage(MembershipMessage::Kind::Ack, message.sequence);
    bool isSame = !message.fleetDigest || *message.fleetDigest == this->table.getFleetDigest();
    if (!isSame && this->gossip.getNumWaiting() <= maximumQueuedUpdates)
        this->addDigests(ack);
    out.push_back({ from, ack });
    this->sendDifferingZones(from, message, false, out);
}

void Membership::onAck(const InstanceId& from, const MembershipMessage& message, std::vector<Outgoing>& out)
{
    this->sendDifferingZones(from, message, true, out);
    for (Probe& probe : this->probes) {
        if (probe.sequence != message.sequence)
            continue;
        probe.isAcked = true;
        if (this->find(probe.target) != nullptr)
            this->zoneFailures.erase(this->find(probe.target)->zone);
    }

    std::map<std::uint64_t, RelayedPing>::iterator found = this->relayedPings.find(message.sequence);
    if (found == this->relayedPings.end())
        return;
    out.push_back({ found->second.requester, this->makeMessage(MembershipMessage::Kind::Ack, found->second.requesterSequence) });
    this->relayedPings.erase(found);
}

std::vector<Membership::Outgoing> Membership::leave()
{
    this->self.state = MemberState::Leaving;
    this->self.incarnation = this->self.incarnation.next();
    this->table.store(this->self);
    this->enqueueUpdate(this->self);

    std::vector<Outgoing> out;
    for (const ZoneId& zone : this->table.getZones()) {
        std::vector<InstanceId> receivers = zone == this->self.zone ? listOthers(this->table, zone, this->self.id) : this->getRelays(zone);
        for (const InstanceId& receiver : receivers) {
            MembershipMessage message = this->makeMessage(MembershipMessage::Kind::Announcement, 0);
            message.updates = { this->self };
            out.push_back({ receiver, message });
        }
    }
    return out;
}

bool Membership::isRelay() const
{
    std::vector<InstanceId> relays = this->getRelays(this->self.zone);
    return std::find(relays.begin(), relays.end(), this->self.id) != relays.end();
}

std::vector<InstanceId> Membership::getRelays(const ZoneId& zone) const
{
    std::vector<std::pair<std::uint64_t, InstanceId>> scored;
    for (const InstanceId& id : this->table.getZone(zone)) {
        if (this->table.find(id)->canServe())
            scored.emplace_back(rendezvousScore("relay/" + zone.toString(), id.toString()), id);
    }
    std::sort(scored.rbegin(), scored.rend());

    std::vector<InstanceId> relays;
    for (std::size_t index = 0; index < scored.size() && index < relaysPerZone; index++)
        relays.push_back(scored[index].second);
    return relays;
}

InstanceId Membership::getZoneOwner(const std::string& task) const
{
    InstanceId owner = this->self.id;
    std::uint64_t best = 0;
    for (const InstanceId& id : this->table.getZone(this->self.zone)) {
        std::uint64_t score = rendezvousScore(task, id.toString());
        if (!this->table.find(id)->canServe() || score <= best)
            continue;
        owner = id;
        best = score;
    }
    return owner;
}

MembershipMessage Membership::makeMessage(MembershipMessage::Kind kind, std::uint64_t sequence)
{
    MembershipMessage message;
    message.kind = kind;
    message.sequence = sequence;
    message.bundleVersion = this->bundleVersion;
    message.updates = this->gossip.take();
    return message;
}

void Membership::startProbe(std::optional<InstanceId> target, TimePoint now, std::vector<Outgoing>& out)
{
    if (!target)
        return;

    Probe probe;
    probe.target = *target;
    probe.sequence = this->nextSequence++;
    probe.startedAt = now;
    this->probes.push_back(probe);
    MembershipMessage ping = this->makeMessage(MembershipMessage::Kind::Ping, probe.sequence);
    ping.fleetDigest = this->table.getFleetDigest();
    // A new instance requests all members with its first probes.
    if (!this->hasReceivedSync)
        this->addDigests(ping);
    out.push_back({ *target, ping });
}

void Membership::advanceProbes(TimePoint now, std::vector<Outgoing>& out)
{
    std::vector<Probe> unanswered;
    for (Probe& probe : this->probes) {
        if (!probe.isAcked && !probe.isIndirect && now >= probe.startedAt + directTimeout)
            this->requestIndirectProbes(probe, out);
        if (!probe.isAcked && now >= probe.startedAt + probeTimeout)
            unanswered.push_back(probe);
    }
    this->probes.erase(std::remove_if(this->probes.begin(), this->probes.end(), [&](const Probe& probe) { return probe.isAcked || now >= probe.startedAt + probeTimeout; }), this->probes.end());

    for (const Probe& probe : unanswered) {
        if (this->find(probe.target) == nullptr)
            continue;
        Member suspect = *this->find(probe.target);
        int& failures = this->zoneFailures[suspect.zone];
        failures = std::min(failures + 1, maximumZoneFailures);
        if (suspect.state == MemberState::Alive) {
            suspect.state = MemberState::Suspect;
            this->apply(suspect, now, Propagation::ByProbes);
        }
        if (suspect.state == MemberState::Leaving) {
            suspect.state = MemberState::Dead;
            this->apply(suspect, now, Propagation::ByProbes);
        }
    }

    for (std::map<std::uint64_t, RelayedPing>::iterator entry = this->relayedPings.begin(); entry != this->relayedPings.end();) {
        bool isExpired = now >= entry->second.startedAt + probeTimeout;
        entry = isExpired ? this->relayedPings.erase(entry) : std::next(entry);
    }
}

void Membership::requestIndirectProbes(Probe& probe, std::vector<Outgoing>& out)
{
    probe.isIndirect = true;
    std::vector<InstanceId> helpers;
    for (const ZoneId& zone : this->table.getZones()) {
        std::vector<InstanceId> candidates = zone == this->self.zone ? listOthers(this->table, zone, this->self.id) : this->getRelays(zone);
        for (const InstanceId& candidate : candidates) {
            if (candidate != probe.target)
                helpers.push_back(candidate);
        }
    }

    for (std::size_t count = 0; count < maximumIndirectProbes && !helpers.empty(); count++) {
        std::size_t index = this->random.below(helpers.size());
        MembershipMessage request = this->makeMessage(MembershipMessage::Kind::PingRequest, probe.sequence);
        request.target = probe.target;
        out.push_back({ helpers[index], request });
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void Membership::expireSuspicions(TimePoint now)
{
    std::vector<Member> dead;
    for (const std::pair<const InstanceId, TimePoint>& entry : this->suspectedAt) {
        Member member = *this->find(entry.first);
        if (member.state != MemberState::Suspect || now < entry.second + suspicionTimeout)
            continue;
        member.state = MemberState::Dead;
        dead.push_back(member);
    }
    for (const Member& member : dead)
        this->apply(member, now, Propagation::ByProbes);
}

void Membership::apply(const Member& update, TimePoint now, Propagation propagation)
{
    if (update.id == this->self.id) {
        this->refute(update);
        return;
    }

    const Member* known = this->find(update.id);
    if (known != nullptr && !overrides(update, *known))
        return;

    // This instance has already removed the dead member.
    if (known == nullptr && update.state == MemberState::Dead)
        return;

    this->table.store(update);
    this->suspectedAt.erase(update.id);
    this->diedAt.erase(update.id);
    if (update.state == MemberState::Suspect)
        this->suspectedAt[update.id] = now;
    if (update.state == MemberState::Dead)
        this->diedAt[update.id] = now;

    if (propagation == Propagation::ByProbes)
        this->enqueueUpdate(update);
    if (this->listener != nullptr)
        this->listener->onMemberChanged(update);
}

void Membership::refute(const Member& claim)
{
    bool isWrong = claim.state != this->self.state || claim.incarnation > this->self.incarnation;
    if (!isWrong || claim.incarnation < this->self.incarnation)
        return;

    this->self.incarnation = claim.incarnation.next();
    this->table.store(this->self);
    this->enqueueUpdate(this->self);
}

void Membership::enqueueUpdate(const Member& member)
{
    this->gossip.add(member, this->table.getZone(this->self.zone).size());
}

void Membership::addDigests(MembershipMessage& message) const
{
    for (const ZoneId& zone : this->table.getZones())
        message.digests.push_back({ zone, this->table.getDigest(zone) });
}

void Membership::sendDifferingZones(const InstanceId& from, const MembershipMessage& message, bool requestsReply, std::vector<Outgoing>& out)
{
    if (message.digests.empty())
        return;

    MembershipMessage sync;
    sync.kind = MembershipMessage::Kind::Sync;
    sync.bundleVersion = this->bundleVersion;
    for (const ZoneId& zone : this->table.getZones()) {
        std::uint64_t own = this->table.getDigest(zone);
        bool isSame = std::any_of(message.digests.begin(), message.digests.end(), [&](const MembershipMessage::ZoneDigest& digest) { return digest.zone == zone && digest.digest == own; });
        if (isSame)
            continue;
        for (const InstanceId& id : this->table.getZone(zone))
            sync.updates.push_back(*this->table.find(id));
    }

    bool isSomeZoneUnknown = std::any_of(message.digests.begin(), message.digests.end(), [&](const MembershipMessage::ZoneDigest& digest) { return this->table.getZone(digest.zone).empty(); });
    if (sync.updates.empty() && !isSomeZoneUnknown)
        return;
    if (requestsReply)
        this->addDigests(sync);
    out.push_back({ from, sync });
}

std::vector<InstanceId> Membership::chooseSuspectZoneTargets()
{
    std::vector<InstanceId> targets;
    for (const std::pair<const ZoneId, int>& failures : this->zoneFailures) {
        if (failures.first == this->self.zone || failures.second < failuresBeforeZoneSuspicion)
            continue;
        std::vector<InstanceId> alive;
        for (const InstanceId& id : this->table.getZone(failures.first)) {
            if (this->find(id)->state == MemberState::Alive)
                alive.push_back(id);
        }
        int numWanted = 1 << failures.second;
        for (int count = 0; count < numWanted && !alive.empty(); count++) {
            std::size_t index = this->random.below(alive.size());
            targets.push_back(alive[index]);
            alive.erase(alive.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return targets;
}

void Membership::removeDead(TimePoint now)
{
    for (std::map<InstanceId, TimePoint>::iterator entry = this->diedAt.begin(); entry != this->diedAt.end();) {
        if (now < entry->second + deadRetention) {
            ++entry;
            continue;
        }
        this->table.remove(entry->first);
        this->suspectedAt.erase(entry->first);
        entry = this->diedAt.erase(entry);
    }
}

} // namespace lentiljunction
