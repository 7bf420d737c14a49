#include "TrafficState.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Taken off the age that a route allows: acknowledgements travel between zones, and clocks of
    /// instances and callers do not run quite alike.
    constexpr std::chrono::milliseconds ageMargin { 100 };
    /// A primary is used without a permit while a proof of its lead is at most this old; a new one is
    /// sought several times within it.
    constexpr std::chrono::milliseconds proofLifetime { 1200 };
    /// What an upstream accepts before the configuration says it.
    constexpr int assumedConnections = 8;

} // namespace

TrafficState::TrafficState(const UpstreamPool::Surroundings& surroundings, ZoneId zone)
    : surroundings(surroundings)
    , zone(std::move(zone))
{
}

void TrafficState::setRoutes(std::shared_ptr<const RouteTable> newer)
{
    this->routes = std::move(newer);
    for (const std::pair<const UpstreamId, std::shared_ptr<UpstreamPool>>& pool : this->pools)
        this->applyShare(*pool.second);
}

void TrafficState::setUpstreams(std::shared_ptr<const UpstreamList> newer)
{
    this->upstreams = std::move(newer);
    for (std::map<UpstreamId, std::shared_ptr<UpstreamPool>>::iterator pool = this->pools.begin(); pool != this->pools.end();) {
        const UpstreamEntry* entry = this->upstreams->find(pool->first);
        if (entry != nullptr) {
            pool->second->setUpstream(*entry);
            ++pool;
            continue;
        }
        pool->second->close();
        this->seenHeads.erase(pool->first);
        pool = this->pools.erase(pool);
    }
}

void TrafficState::setNumInstances(std::size_t number)
{
    this->numInstances = number;
    for (const std::pair<const UpstreamId, std::shared_ptr<UpstreamPool>>& pool : this->pools)
        this->applyShare(*pool.second);
}

void TrafficState::setLead(const LeadView& newer)
{
    bool isChanged = this->view.lead.revision != newer.lead.revision;
    this->view = newer;
    if (isChanged)
        for (const std::pair<const UpstreamId, std::shared_ptr<UpstreamPool>>& pool : this->pools)
            this->applyShare(*pool.second);
    if (newer.lead.record == nullptr)
        return;
    for (const std::pair<const GroupId, GroupLead>& group : newer.lead.record->groups) {
        Reign& reign = this->reigns[group.first];
        if (reign.generation != group.second.generation)
            reign = { group.second.generation, this->getClock().bootNow() };
        if (group.second.phase == LeadPhase::Stable)
            this->proofs.onNewPrimary(group.first, group.second.generation, group.second.baseline);
    }
}

std::optional<Target> TrafficState::findPrimary(const GroupId& group)
{
    std::optional<Leader> leader = this->view.findLeader(group, *this->upstreams);
    if (!leader || !this->mayUse(group, *leader))
        return std::nullopt;
    const UpstreamEntry* entry = this->upstreams->find(leader->upstream);
    if (entry == nullptr || entry->isLeaving)
        return std::nullopt;
    return Target { this->findPool(leader->upstream), leader, std::nullopt };
}

void TrafficState::notePrimary(const GroupId& group, bool isUsable)
{
    if (isUsable)
        this->forecast.onUsable(group, this->getClock().now());
    else
        this->forecast.onLost(group, this->getClock().now());
}

std::optional<Target> TrafficState::findForRead(const ReadNeed& need)
{
    BootTime now = this->getClock().bootNow();
    std::optional<Target> primary = this->findPrimary(need.route->group);
    if (need.route->consistency == Consistency::Primary)
        return primary;

    bool isProved = false;
    std::optional<LogPoint> required = this->findRequired(need, this->view.getGeneration(need.route->group), isProved);
    std::vector<ReadCandidate> candidates;
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : this->upstreams->entries) {
        if (entry.second.group != need.route->group || entry.second.isLeaving || need.tried.count(entry.first) > 0)
            continue;
        bool isPrimary = primary && primary->leader->upstream == entry.first;
        std::shared_ptr<UpstreamPool> pool = this->findPool(entry.first);
        pool->probeIfDue();
        if (pool->isAvoided() || (!isPrimary && !isProved))
            continue;
        ReadCandidate candidate { entry.first, entry.second.zone == this->zone, isPrimary, pool->findIdle() != nullptr, pool->getLatency(), pool->getLoad(), std::nullopt, Duration(0) };
        std::map<UpstreamId, SeenHead>::const_iterator seen = this->seenHeads.find(entry.first);
        if (seen != this->seenHeads.end()) {
            candidate.seenHead = seen->second.head;
            candidate.seenAge = std::chrono::duration_cast<Duration>(now - seen->second.at);
        }
        candidates.push_back(candidate);
    }
    std::optional<UpstreamId> chosen = chooseReadTarget(candidates, required);
    if (!chosen)
        return std::nullopt;
    if (primary && primary->leader->upstream == *chosen)
        return primary;
    return Target { this->findPool(*chosen), std::nullopt, required };
}

std::optional<LogPoint> TrafficState::findRequired(const ReadNeed& need, std::uint64_t generation, bool& isProved) const
{
    std::optional<LogPoint> required = this->proofs.findRequired(need.route->group, generation, need.arrivedAt - need.route->maximumStaleness + ageMargin);
    isProved = required.has_value();
    if (!isProved || need.route->consistency != Consistency::ReadYourWrites || !need.ownCommit)
        return required;

    // What is left of commits under an earlier primary is part of the log with which the next began.
    std::optional<LogPoint> own = need.ownCommit->point;
    if (need.ownCommit->generation != generation)
        own = this->view.findBaseline(need.route->group);
    if (own && *required < *own)
        required = own;
    return required;
}

bool TrafficState::isBelievedLeader(const GroupId& group, const Leader& leader) const
{
    std::optional<Leader> current = this->view.findLeader(group, *this->upstreams);
    return current && *current == leader;
}

bool TrafficState::mayUse(const GroupId& group, const Leader& leader) const
{
    if (this->isPermitted())
        return true;
    // Without a permit each answer has to be proved; a recent proof makes another one likely.
    std::map<GroupId, Proof>::const_iterator proof = this->leadProofs.find(group);
    return proof != this->leadProofs.end() && proof->second.leader == leader && this->getClock().bootNow() - proof->second.at < proofLifetime;
}

void TrafficState::onLeadProved(const GroupId& group, const Leader& leader)
{
    this->leadProofs[group] = { leader, this->getClock().bootNow() };
}

void TrafficState::onProvedHead(const GroupId& group, const Leader& leader, const LogPoint& head, BootTime askedAt)
{
    if (this->isBelievedLeader(group, leader))
        this->proofs.add(group, leader.generation, askedAt, head);
}

void TrafficState::onHead(const UpstreamId& upstream, const LogPoint& head, BootTime askedAt)
{
    const UpstreamEntry* entry = this->upstreams->find(upstream);
    if (entry == nullptr)
        return;
    this->seenHeads[upstream] = { head, this->getClock().bootNow() };
    std::optional<Leader> leader = this->view.findLeader(entry->group, *this->upstreams);
    if (!leader || leader->upstream != upstream || !this->view.isPermitted(this->getClock().bootNow()))
        return;
    // An answer to a question from before its lead may show the log of a replica.
    std::map<GroupId, Reign>::const_iterator reign = this->reigns.find(entry->group);
    bool isWithinReign = reign == this->reigns.end() || reign->second.generation != leader->generation || reign->second.knownSince <= askedAt;
    if (isWithinReign)
        this->proofs.add(entry->group, leader->generation, askedAt, head);
}

void TrafficState::exportFigures(GatewayMetrics& metrics) const
{
    std::map<GroupId, LogPoint> heads;
    std::map<std::string, Duration> ages;
    for (const PositionProofs::Newest& proof : this->proofs.listNewest()) {
        heads[proof.group] = proof.head;
        ages[proof.group.toString()] = std::chrono::duration_cast<Duration>(this->getClock().bootNow() - proof.askedAt);
    }
    std::vector<GatewayMetrics::Upstream> figures;
    for (const std::pair<const UpstreamId, std::shared_ptr<UpstreamPool>>& entry : this->pools) {
        const UpstreamPool& pool = *entry.second;
        GatewayMetrics::Upstream figure { entry.first.toString(), pool.getUpstream().group.toString(), pool.getUpstream().zone == this->zone, pool.getNumConnections(), pool.getNumRunning(), pool.getNumWaiting(), pool.getLatency(), 0, pool.getNumBytes() };
        std::optional<LogPoint> seen = this->findSeenHead(entry.first);
        std::map<GroupId, LogPoint>::const_iterator head = heads.find(pool.getUpstream().group);
        if (seen && head != heads.end() && seen->position < head->second.position)
            figure.lag = head->second.position.value() - seen->position.value();
        figures.push_back(std::move(figure));
    }
    metrics.setUpstreams(figures);
    metrics.setFreshnessProofAges(ages);
}

std::optional<LogPoint> TrafficState::findSeenHead(const UpstreamId& upstream) const
{
    std::map<UpstreamId, SeenHead>::const_iterator seen = this->seenHeads.find(upstream);
    return seen == this->seenHeads.end() ? std::nullopt : std::optional<LogPoint>(seen->second.head);
}

std::optional<BootTime> TrafficState::findNewestProof(const GroupId& group) const
{
    return this->proofs.findNewest(group, this->view.getGeneration(group));
}

void TrafficState::dropSilentLinks()
{
    std::map<UpstreamId, std::shared_ptr<UpstreamPool>> all = this->pools;
    for (const std::pair<const UpstreamId, std::shared_ptr<UpstreamPool>>& pool : all)
        pool.second->dropSilent();
}

std::shared_ptr<UpstreamPool> TrafficState::findPool(const UpstreamId& upstream)
{
    std::map<UpstreamId, std::shared_ptr<UpstreamPool>>::iterator found = this->pools.find(upstream);
    if (found != this->pools.end())
        return found->second;
    const UpstreamEntry* entry = this->upstreams->find(upstream);
    if (entry == nullptr)
        return nullptr;
    std::shared_ptr<UpstreamPool> made = std::make_shared<UpstreamPool>(this->surroundings, *entry);
    this->applyShare(*made);
    this->pools.emplace(upstream, made);
    return made;
}

void TrafficState::applyShare(UpstreamPool& pool) const
{
    int maximum = assumedConnections;
    if (this->routes != nullptr) {
        std::map<GroupId, GroupConfig>::const_iterator group = this->routes->groups.find(pool.getUpstream().group);
        if (group != this->routes->groups.end() && group->second.maximumConnections > 0)
            maximum = group->second.maximumConnections;
    }
    pool.setShare(maximum, this->countUsers(pool.getUpstream()));
}

std::size_t TrafficState::countUsers(const UpstreamEntry& upstream) const
{
    // Each instance stays with one replica of a group where it can, and writes go to the primary.
    std::optional<Leader> leader = this->view.findLeader(upstream.group, *this->upstreams);
    if (!leader || leader->upstream == upstream.id)
        return this->numInstances;
    std::ptrdiff_t numReplicas = std::count_if(this->upstreams->entries.begin(), this->upstreams->entries.end(), [&](const std::pair<const UpstreamId, UpstreamEntry>& entry) {
        return entry.second.group == upstream.group && entry.first != leader->upstream && !entry.second.isLeaving;
    });
    std::size_t divisor = static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, numReplicas));
    return (this->numInstances + divisor - 1) / divisor;
}

void TrafficState::takeProofs(const std::vector<PositionProofs::Newest>& others)
{
    for (const PositionProofs::Newest& proof : others) {
        if (proof.generation == this->view.getGeneration(proof.group))
            this->proofs.add(proof.group, proof.generation, proof.askedAt, proof.head);
    }
}

} // namespace lentiljunction
