#include "lentiljunction/membership/Membership.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration probePeriod = std::chrono::seconds(1);
    /// A probe without an answer is tried through others after this time.
    constexpr Duration directTimeout = std::chrono::milliseconds(300);
    constexpr Duration probeTimeout = std::chrono::milliseconds(900);
    constexpr Duration suspicionTimeout = std::chrono::seconds(3);
    /// A dead member is remembered this long, so that late news of it is not taken for new.
    constexpr Duration deadMemory = std::chrono::hours(1);
    constexpr std::size_t indirectProbes = 3;
    constexpr std::size_t relaysPerZone = 2;
    constexpr std::size_t updatesPerMessage = 6;
    /// A change is repeated this many times the logarithm of the zone's size.
    constexpr double repeatFactor = 3;

    /// Dead members do not count, so that instances may forget them at different times.
    std::uint64_t hashMember(const Member& member)
    {
        if (member.state == MemberState::Dead)
            return 0;
        return stableHash(member.id.toString() + "/" + std::to_string(member.incarnation.value()) + "/" + toString(member.state));
    }

} // namespace

Membership::Membership(Member self, const std::vector<SeedPeer>& seeds, std::uint64_t randomSeed, TimePoint now)
    : self(std::move(self))
    , random(randomSeed)
    , nextPeriod(now)
{
    this->store(this->self);
    this->addSeeds(seeds);
    this->spread(this->self);
}

void Membership::addSeeds(const std::vector<SeedPeer>& seeds)
{
    for (const SeedPeer& seed : seeds) {
        if (this->members.count(seed.id) > 0)
            continue;
        this->store(Member { seed.id, seed.zone, seed.endpoint, MemberState::Alive, Incarnation() });
    }
}

std::vector<Membership::Outgoing> Membership::onTick(TimePoint now)
{
    std::vector<Outgoing> out;
    this->progressProbes(now, out);
    this->expireSuspicions(now);
    this->forgetDead(now);
    if (now < this->nextPeriod)
        return out;

    Duration jitter(static_cast<Duration::rep>(this->random.below(probePeriod.count() / 10)));
    this->nextPeriod = now + probePeriod + jitter;
    this->startProbe(this->nextInZone(), now, out);
    if (this->isRelay())
        this->startProbe(this->nextInOtherZone(), now, out);
    return out;
}

std::vector<Membership::Outgoing> Membership::onMessage(const InstanceId& from, const MembershipMessage& message, TimePoint now)
{
    std::vector<Outgoing> out;
    // What a Sync brings is exchanged by digests anyway, so it is not passed on as news.
    Spreading spreading = message.kind == MembershipMessage::Kind::Sync ? Spreading::None : Spreading::ByProbes;
    for (const Member& update : message.updates)
        this->apply(update, now, spreading);

    switch (message.kind) {
    case MembershipMessage::Kind::Ping: {
        MembershipMessage ack = this->makeMessage(MembershipMessage::Kind::Ack, message.sequence);
        bool isSame = !message.fleetDigest || *message.fleetDigest == this->getFleetDigest();
        if (!isSame)
            this->addDigests(ack);
        out.push_back({ from, ack });
        break;
    }
    case MembershipMessage::Kind::Ack: {
        this->answerDigests(from, message, true, out);
        for (Probe& probe : this->probes) {
            if (probe.sequence == message.sequence)
                probe.isAcked = true;
        }
        std::map<std::uint64_t, Relayed>::iterator found = this->relayed.find(message.sequence);
        if (found != this->relayed.end()) {
            out.push_back({ found->second.requester, this->makeMessage(MembershipMessage::Kind::Ack, found->second.requesterSequence) });
            this->relayed.erase(found);
        }
        break;
    }
    case MembershipMessage::Kind::PingRequest: {
        std::uint64_t sequence = this->nextSequence++;
        this->relayed[sequence] = { from, message.sequence, now };
        out.push_back({ message.target, this->makeMessage(MembershipMessage::Kind::Ping, sequence) });
        break;
    }
    case MembershipMessage::Kind::Sync:
        this->answerDigests(from, message, false, out);
        break;
    case MembershipMessage::Kind::News:
        break;
    }
    return out;
}

std::vector<Membership::Outgoing> Membership::leave()
{
    this->self.state = MemberState::Leaving;
    this->self.incarnation = this->self.incarnation.next();
    this->store(this->self);
    this->spread(this->self);

    std::vector<Outgoing> out;
    for (const std::pair<const ZoneId, std::set<InstanceId>>& zone : this->zones) {
        std::vector<InstanceId> receivers = zone.first == this->self.zone ? this->getOthers(zone.first) : this->getRelays(zone.first);
        for (const InstanceId& receiver : receivers) {
            MembershipMessage message = this->makeMessage(MembershipMessage::Kind::News, 0);
            message.updates = { this->self };
            out.push_back({ receiver, message });
        }
    }
    return out;
}

std::shared_ptr<const MemberList> Membership::getMembers() const
{
    if (this->snapshot != nullptr)
        return this->snapshot;

    std::shared_ptr<MemberList> list = std::make_shared<MemberList>();
    for (const std::pair<const InstanceId, Member>& entry : this->members)
        list->push_back(entry.second);
    this->snapshot = list;
    return this->snapshot;
}

const Member* Membership::find(const InstanceId& id) const
{
    std::map<InstanceId, Member>::const_iterator found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

bool Membership::isRelay() const
{
    std::vector<InstanceId> relays = this->getRelays(this->self.zone);
    return std::find(relays.begin(), relays.end(), this->self.id) != relays.end();
}

std::vector<InstanceId> Membership::getRelays(const ZoneId& zone) const
{
    std::vector<std::pair<std::uint64_t, InstanceId>> scored;
    std::map<ZoneId, std::set<InstanceId>>::const_iterator found = this->zones.find(zone);
    if (found == this->zones.end())
        return {};

    for (const InstanceId& id : found->second) {
        if (this->members.at(id).canServe())
            scored.emplace_back(rendezvousScore("relay/" + zone.toString(), id.toString()), id);
    }
    std::sort(scored.rbegin(), scored.rend());

    std::vector<InstanceId> relays;
    for (std::size_t index = 0; index < scored.size() && index < relaysPerZone; index++)
        relays.push_back(scored[index].second);
    return relays;
}

InstanceId Membership::getZoneOwner(const std::string& duty) const
{
    InstanceId owner = this->self.id;
    std::uint64_t best = 0;
    for (const InstanceId& id : this->zones.at(this->self.zone)) {
        std::uint64_t score = rendezvousScore(duty, id.toString());
        if (!this->members.at(id).canServe() || score <= best)
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
    std::stable_sort(this->rumours.begin(), this->rumours.end(), [](const Rumour& left, const Rumour& right) { return left.remaining > right.remaining; });
    for (Rumour& rumour : this->rumours) {
        if (message.updates.size() == updatesPerMessage)
            break;
        message.updates.push_back(rumour.member);
        rumour.remaining--;
    }
    this->rumours.erase(std::remove_if(this->rumours.begin(), this->rumours.end(), [](const Rumour& rumour) { return rumour.remaining <= 0; }), this->rumours.end());
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
    ping.fleetDigest = this->getFleetDigest();
    out.push_back({ *target, ping });
}

void Membership::progressProbes(TimePoint now, std::vector<Outgoing>& out)
{
    std::vector<Probe> unanswered;
    for (Probe& probe : this->probes) {
        if (!probe.isAcked && !probe.isIndirect && now >= probe.startedAt + directTimeout)
            this->askIndirectly(probe, out);
        if (!probe.isAcked && now >= probe.startedAt + probeTimeout)
            unanswered.push_back(probe);
    }
    this->probes.erase(std::remove_if(this->probes.begin(), this->probes.end(), [&](const Probe& probe) { return probe.isAcked || now >= probe.startedAt + probeTimeout; }), this->probes.end());

    for (const Probe& probe : unanswered) {
        if (this->find(probe.target) == nullptr)
            continue;
        Member suspect = this->members.at(probe.target);
        if (suspect.state == MemberState::Alive) {
            suspect.state = MemberState::Suspect;
            this->apply(suspect, now, Spreading::ByProbes);
        }
        if (suspect.state == MemberState::Leaving) {
            suspect.state = MemberState::Dead;
            this->apply(suspect, now, Spreading::ByProbes);
        }
    }

    for (std::map<std::uint64_t, Relayed>::iterator entry = this->relayed.begin(); entry != this->relayed.end();) {
        bool isOver = now >= entry->second.startedAt + probeTimeout;
        entry = isOver ? this->relayed.erase(entry) : std::next(entry);
    }
}

void Membership::askIndirectly(Probe& probe, std::vector<Outgoing>& out)
{
    probe.isIndirect = true;
    std::vector<InstanceId> helpers;
    for (const std::pair<const ZoneId, std::set<InstanceId>>& zone : this->zones) {
        std::vector<InstanceId> candidates = zone.first == this->self.zone ? this->getOthers(zone.first) : this->getRelays(zone.first);
        for (const InstanceId& candidate : candidates) {
            if (candidate != probe.target)
                helpers.push_back(candidate);
        }
    }

    for (std::size_t count = 0; count < indirectProbes && !helpers.empty(); count++) {
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
        Member member = this->members.at(entry.first);
        if (member.state != MemberState::Suspect || now < entry.second + suspicionTimeout)
            continue;
        member.state = MemberState::Dead;
        dead.push_back(member);
    }
    for (const Member& member : dead)
        this->apply(member, now, Spreading::ByProbes);
}

void Membership::apply(const Member& update, TimePoint now, Spreading spreading)
{
    if (update.id == this->self.id) {
        this->refute(update);
        return;
    }

    std::map<InstanceId, Member>::iterator known = this->members.find(update.id);
    if (known != this->members.end() && !overrides(update, known->second))
        return;

    // A dead member that was forgotten here is no news.
    if (known == this->members.end() && update.state == MemberState::Dead)
        return;

    this->store(update);
    this->suspectedAt.erase(update.id);
    this->diedAt.erase(update.id);
    if (update.state == MemberState::Suspect)
        this->suspectedAt[update.id] = now;
    if (update.state == MemberState::Dead)
        this->diedAt[update.id] = now;

    if (spreading == Spreading::ByProbes)
        this->spread(update);
    if (this->listener != nullptr)
        this->listener->onMemberChanged(update);
}

void Membership::refute(const Member& claim)
{
    bool isWrong = claim.state != this->self.state || claim.incarnation > this->self.incarnation;
    if (!isWrong || claim.incarnation < this->self.incarnation)
        return;

    this->self.incarnation = claim.incarnation.next();
    this->store(this->self);
    this->spread(this->self);
}

void Membership::spread(const Member& member)
{
    double zoneSize = static_cast<double>(this->zones[this->self.zone].size());
    int repeats = static_cast<int>(std::ceil(repeatFactor * std::log2(zoneSize + 2)));
    for (Rumour& rumour : this->rumours) {
        if (rumour.member.id != member.id)
            continue;
        rumour = { member, repeats };
        return;
    }
    this->rumours.push_back({ member, repeats });
}

void Membership::addDigests(MembershipMessage& message) const
{
    for (const std::pair<const ZoneId, std::set<InstanceId>>& zone : this->zones)
        message.digests.push_back({ zone.first, this->getDigest(zone.first) });
}

void Membership::answerDigests(const InstanceId& from, const MembershipMessage& message, bool asksBack, std::vector<Outgoing>& out)
{
    if (message.digests.empty())
        return;

    MembershipMessage sync;
    sync.kind = MembershipMessage::Kind::Sync;
    sync.bundleVersion = this->bundleVersion;
    for (const std::pair<const ZoneId, std::set<InstanceId>>& zone : this->zones) {
        std::uint64_t own = this->getDigest(zone.first);
        bool isSame = std::any_of(message.digests.begin(), message.digests.end(), [&](const MembershipMessage::ZoneDigest& digest) { return digest.zone == zone.first && digest.digest == own; });
        if (isSame)
            continue;
        for (const InstanceId& id : zone.second)
            sync.updates.push_back(this->members.at(id));
    }

    bool isSomeZoneUnknown = std::any_of(message.digests.begin(), message.digests.end(), [&](const MembershipMessage::ZoneDigest& digest) { return this->zones.count(digest.zone) == 0; });
    if (sync.updates.empty() && !isSomeZoneUnknown)
        return;
    if (asksBack)
        this->addDigests(sync);
    out.push_back({ from, sync });
}

std::optional<InstanceId> Membership::nextInZone()
{
    while (true) {
        if (this->probeOrder.empty()) {
            this->probeOrder = this->getOthers(this->self.zone);
            for (std::size_t index = this->probeOrder.size(); index > 1; index--)
                std::swap(this->probeOrder[index - 1], this->probeOrder[this->random.below(index)]);
        }
        if (this->probeOrder.empty())
            return std::nullopt;

        InstanceId candidate = this->probeOrder.back();
        this->probeOrder.pop_back();
        const Member* member = this->find(candidate);
        if (member != nullptr && member->state != MemberState::Dead)
            return candidate;
    }
}

std::optional<InstanceId> Membership::nextInOtherZone()
{
    if (this->zones.size() < 2)
        return std::nullopt;

    std::map<ZoneId, std::set<InstanceId>>::const_iterator zone = this->zones.begin();
    std::advance(zone, static_cast<std::ptrdiff_t>(this->nextZoneIndex++ % this->zones.size()));
    if (zone->first == this->self.zone) {
        zone = this->zones.begin();
        std::advance(zone, static_cast<std::ptrdiff_t>(this->nextZoneIndex++ % this->zones.size()));
    }

    std::vector<InstanceId> candidates(zone->second.begin(), zone->second.end());
    if (candidates.empty())
        return std::nullopt;
    return candidates[this->random.below(candidates.size())];
}

std::vector<InstanceId> Membership::getOthers(const ZoneId& zone) const
{
    std::vector<InstanceId> others;
    for (const InstanceId& id : this->zones.at(zone)) {
        if (id != this->self.id && this->members.at(id).state != MemberState::Dead)
            others.push_back(id);
    }
    return others;
}

std::uint64_t Membership::getFleetDigest() const
{
    std::uint64_t fleet = 0;
    for (const std::pair<const ZoneId, std::uint64_t>& entry : this->digests)
        fleet ^= entry.second;
    return fleet;
}

std::uint64_t Membership::getDigest(const ZoneId& zone) const
{
    std::map<ZoneId, std::uint64_t>::const_iterator found = this->digests.find(zone);
    return found == this->digests.end() ? 0 : found->second;
}

void Membership::store(const Member& member)
{
    std::map<InstanceId, Member>::iterator known = this->members.find(member.id);
    if (known != this->members.end())
        this->forget(member.id);
    this->members[member.id] = member;
    this->zones[member.zone].insert(member.id);
    this->digests[member.zone] ^= hashMember(member);
    this->snapshot = nullptr;
}

void Membership::forget(const InstanceId& id)
{
    std::map<InstanceId, Member>::iterator known = this->members.find(id);
    this->digests[known->second.zone] ^= hashMember(known->second);
    this->zones[known->second.zone].erase(id);
    this->members.erase(known);
    this->snapshot = nullptr;
}

void Membership::forgetDead(TimePoint now)
{
    for (std::map<InstanceId, TimePoint>::iterator entry = this->diedAt.begin(); entry != this->diedAt.end();) {
        if (now < entry->second + deadMemory) {
            ++entry;
            continue;
        }
        this->forget(entry->first);
        this->suspectedAt.erase(entry->first);
        entry = this->diedAt.erase(entry);
    }
}

} // namespace lentiljunction
