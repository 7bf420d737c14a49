#include "TrafficState.h"

#include "DiscoveredConcurrency.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/leadership/OpenPromotionTracker.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Subtracted from the staleness that a route allows, for the travel time of acknowledgements between
    /// zones and the clock differences between instances and callers.
    constexpr std::chrono::milliseconds stalenessMargin { 100 };
    /// Without a lease a primary is used while its last verification is at most this old. A new verification
    /// starts several times within this time.
    constexpr std::chrono::milliseconds verificationLifetime { 1200 };
    /// Connections to an upstream that an instance which borrows may open itself. After a restart of the fleet the
    /// upstream still counts the lost connections, while lenders are slow to respond: more would exceed its limit.
    constexpr std::size_t maximumWhenBorrowing = 1;
    /// Connections that an upstream accepts, as long as no routing configuration is known.
    constexpr int defaultMaximumConnections = 8;

} // namespace

TrafficState::TrafficState(const UpstreamPool::Dependencies& dependencies, ZoneId zone)
    : dependencies(dependencies)
    , zone(std::move(zone))
    , health(dependencies.clock)
    , replyMemory(dependencies.loop, this->memory)
{
    this->dependencies.replyMemory = &this->replyMemory;
}

bool TrafficState::mayCommitsWait(const GroupId& group) const
{
    if (this->routes == nullptr)
        return false;
    std::map<GroupId, GroupConfig>::const_iterator found = this->routes->groups.find(group);
    return found != this->routes->groups.end() && found->second.numSynchronousReplicas > 0;
}

std::shared_ptr<const void> TrafficState::holdClosing(std::size_t numUnsent)
{
    struct Closing {
        std::shared_ptr<ReplyMemory::Receipt> memory;
        std::shared_ptr<char> session;
    };
    return std::make_shared<Closing>(Closing { this->replyMemory.hold(numUnsent), this->closingSessions });
}

void TrafficState::setRoutes(std::shared_ptr<const RouteTable> newer, std::shared_ptr<const RouteConfirmation> newerConfirmation)
{
    this->routes = std::move(newer);
    this->confirmation = std::move(newerConfirmation);
    this->workspaceWeights = this->routes == nullptr ? nullptr : makeWorkspaceWeights(this->routes->workspaces);
    this->applyShares();
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
        this->lastKnownHeads.erase(pool->first);
        this->health.remove(pool->first);
        this->borrowingSources.erase(pool->first);
        pool = this->pools.erase(pool);
    }
    this->applyShares();
}

void TrafficState::setMembers(const std::vector<FleetMember>& members, std::size_t newNumInstances)
{
    this->numInstances = std::max<std::size_t>(1, newNumInstances);
    this->lendingPlan = LendingPlan(members, this->zone);
    this->applyShares();
}

void TrafficState::setPrimaryView(const PrimaryView& newer)
{
    bool isChanged = newer.latest.isNewerThan(this->view.latest);
    this->view = newer;
    if (isChanged)
        this->applyShares();
    if (newer.latest.record == nullptr)
        return;
    for (const std::pair<const GroupId, PrimaryEntry>& group : newer.latest.record->groups) {
        Tenure& tenure = this->tenures[group.first];
        if (tenure.generation != group.second.generation)
            tenure = { group.second.generation, this->getClock().bootNow() };
        if (group.second.phase == PrimaryPhase::Stable)
            this->proofs.onNewPrimary(group.first, group.second);
    }
}

PrimaryDecision TrafficState::decidePrimary(const GroupId& group) const
{
    std::optional<PrimaryTenure> primary = this->view.findPrimaryTenure(group, *this->upstreams);
    if (!primary)
        return { std::nullopt, this->view.isChanging(group) ? PrimaryObstacle::Changing : PrimaryObstacle::Unknown };
    if (!this->mayUsePrimary(group, *primary))
        return { primary, PrimaryObstacle::NoLease };
    const UpstreamEntry* entry = this->upstreams->find(primary->upstream);
    if (entry == nullptr)
        return { primary, PrimaryObstacle::NotListed };
    if (entry->isLeaving)
        return { primary, PrimaryObstacle::Leaving };
    return { primary, std::nullopt };
}

std::optional<Target> TrafficState::findPrimary(const GroupId& group)
{
    PrimaryDecision decision = this->decidePrimary(group);
    if (!decision.isUsable())
        return std::nullopt;
    return Target { this->findSource(decision.primary->upstream), decision.primary, std::nullopt };
}

void TrafficState::setPrimaryUsable(const GroupId& group, bool isUsable)
{
    if (isUsable)
        this->forecast.onPrimaryUsable(group, this->getClock().now());
    else
        this->forecast.onPrimaryLost(group, this->getClock().now());
}

std::optional<TimePoint> TrafficState::forecastReturn(const GroupId& group, bool isLost) const
{
    FailoverForecast copy = this->forecast;
    if (isLost)
        copy.onPrimaryLost(group, this->getClock().now());
    return this->getExpectedReturn(group, copy);
}

std::optional<TimePoint> TrafficState::getExpectedReturn(const GroupId& group, const FailoverForecast& used) const
{
    TimePoint now = this->getClock().now();
    std::optional<TimePoint> expected = used.getExpectedReturn(group, now);
    std::optional<PrimaryTenure> primary = this->view.findPrimaryTenure(group, *this->upstreams);
    if (!expected || !primary || this->findVerificationScope(group, *primary))
        return expected;
    // The call has ended a lifetime after the primary was named. Then the coordinator looks for its effect.
    std::map<GroupId, Tenure>::const_iterator tenure = this->tenures.find(group);
    if (tenure == this->tenures.end())
        return expected;
    Duration remaining = std::chrono::duration_cast<Duration>(tenure->second.knownSince + promotionCallLifetime - this->getClock().bootNow());
    return std::max(*expected, now + remaining);
}

std::optional<VerificationScope> TrafficState::findVerificationScope(const GroupId& group, const PrimaryTenure& primary) const
{
    bool isLeased = this->view.hasLeaseUpToOpenPromotions(group, this->getClock().bootNow()) && !this->newerTerms.hasNewerTerm(group, this->view);
    return lentiljunction::findVerificationScope(group, primary.upstream, *this->upstreams, this->view.findOpenPromotions(group), isLeased);
}

std::optional<Target> TrafficState::findReadTarget(const ReadRequirement& requirement)
{
    if (requirement.route->consistency == Consistency::Primary)
        return this->findPrimary(requirement.route->group);

    PrimaryDecision primary = this->decidePrimary(requirement.route->group);
    ReadPlan plan = this->planRead(
        requirement, primary,
        [this](const UpstreamEntry& upstream) {
            std::shared_ptr<ConnectionSource> source = this->findSource(upstream.id);
            source->probeIfDue();
            return source;
        },
        nullptr);
    if (!plan.chosen)
        return std::nullopt;
    bool isPrimary = primary.isUsable() && primary.primary->upstream == *plan.chosen;
    Target target { this->findSource(*plan.chosen), std::nullopt, plan.required };
    if (isPrimary)
        target = { target.source, primary.primary, std::nullopt };
    target.hasAlternative = std::any_of(plan.candidates.begin(), plan.candidates.end(), [&](const ReadCandidate& candidate) { return candidate.upstream != *plan.chosen && !candidate.isAvoided; });
    return target;
}

ReadPlan TrafficState::planRead(const ReadRequirement& requirement, const PrimaryDecision& primary, const SourceLookup& lookup, std::vector<ExcludedUpstream>* excluded) const
{
    ReadPlan plan;
    plan.required = this->findRequired(requirement, this->view.getGeneration(requirement.route->group), plan.hasProof);
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : this->upstreams->entries) {
        if (entry.second.group != requirement.route->group)
            continue;
        std::optional<Exclusion> exclusion;
        if (entry.second.isLeaving)
            exclusion = Exclusion::Leaving;
        else if (requirement.tried.count(entry.first) > 0)
            exclusion = Exclusion::Tried;
        if (!exclusion) {
            bool isPrimary = primary.isUsable() && primary.primary->upstream == entry.first;
            std::shared_ptr<const ConnectionSource> source = lookup(entry.second);
            exclusion = findExclusion(*source, isPrimary, plan.hasProof);
            if (!exclusion)
                plan.candidates.push_back(this->describeCandidate(entry.second, *source, isPrimary));
        }
        if (exclusion && excluded != nullptr)
            excluded->push_back({ entry.first, *exclusion });
    }
    plan.chosen = chooseReadTarget(plan.candidates, plan.required);
    return plan;
}

std::optional<Exclusion> TrafficState::findExclusion(const ConnectionSource& source, bool isPrimary, bool hasProof)
{
    if (source.isUnreachable())
        return Exclusion::Unreachable;
    if (!isPrimary && !hasProof)
        return Exclusion::NoFreshnessProof;
    return std::nullopt;
}

ReadCandidate TrafficState::describeCandidate(const UpstreamEntry& upstream, const ConnectionSource& source, bool isPrimary) const
{
    ReadCandidate candidate { upstream.id, upstream.zone == this->zone, isPrimary, source.hasIdle(), source.getLatency(), source.getLoad(), std::nullopt, Duration(0) };
    std::map<UpstreamId, KnownHead>::const_iterator seen = this->lastKnownHeads.find(upstream.id);
    if (seen != this->lastKnownHeads.end()) {
        candidate.lastKnownHead = seen->second.head;
        candidate.lastKnownHeadAge = std::chrono::duration_cast<Duration>(this->getClock().bootNow() - seen->second.at);
    }
    candidate.isAvoided = this->health.getAvoidedFor(upstream.id) > Duration(0) || source.isAvoidedByLender();
    candidate.isProbeDue = !candidate.isAvoided && this->health.isEjected(upstream.id);
    return candidate;
}

void TrafficState::onResult(const OutlierDetector::Sample& sample)
{
    const UpstreamEntry* upstream = this->health.isEnabled() ? this->upstreams->find(sample.upstream) : nullptr;
    if (upstream == nullptr)
        return;
    std::vector<UpstreamId> members;
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : this->upstreams->entries) {
        if (entry.second.group == upstream->group && !entry.second.isLeaving && !this->findSource(entry.first)->isUnreachable())
            members.push_back(entry.first);
    }
    this->health.onResult(sample, members);
}

std::optional<LogPoint> TrafficState::findRequired(const ReadRequirement& requirement, std::uint64_t generation, bool& hasProof) const
{
    std::optional<LogPoint> required = this->proofs.findRequired(requirement.route->group, generation, requirement.arrivedAt - requirement.route->maximumStaleness + stalenessMargin);
    hasProof = required.has_value();
    if (!hasProof || requirement.route->consistency != Consistency::ReadYourWrites || !requirement.ownCommit)
        return required;

    // The surviving commits of an earlier primary are part of the log with which the next primary began.
    return std::max(*required, this->view.limitToSurviving(requirement.route->group, *requirement.ownCommit));
}

bool TrafficState::isKnownPrimary(const GroupId& group, const PrimaryTenure& primary) const
{
    std::optional<PrimaryTenure> current = this->view.findPrimaryTenure(group, *this->upstreams);
    return current && *current == primary;
}

bool TrafficState::mayUsePrimary(const GroupId& group, const PrimaryTenure& primary) const
{
    if (this->hasValidLease(group))
        return true;
    if (!this->findVerificationScope(group, primary))
        return false;
    // Without a lease each answer needs a verification, which probably succeeds if a recent one did.
    std::map<GroupId, VerifiedPrimary>::const_iterator verified = this->verifiedPrimaries.find(group);
    return verified != this->verifiedPrimaries.end() && verified->second.primary == primary && this->getClock().bootNow() - verified->second.at < verificationLifetime;
}

void TrafficState::onPrimaryVerified(const GroupId& group, const PrimaryTenure& primary, Term term)
{
    this->verifiedPrimaries[group] = { primary, this->getClock().bootNow() };
    this->onLedTerm(group, primary, term);
}

void TrafficState::onTerm(const UpstreamId& upstream, Term term)
{
    const UpstreamEntry* entry = this->upstreams->find(upstream);
    if (entry == nullptr)
        return;
    const GroupId group = entry->group;
    NewerTermDetector::Action action = this->newerTerms.onTerm(group, upstream, term, this->view, this->getClock().bootNow());
    // A verification from before the term says nothing about the next one.
    if (action.mustVerify)
        this->verifiedPrimaries.erase(group);
    if (this->newerTermHandler && (action.mustVerify || action.mustReport))
        this->newerTermHandler(group, upstream, term, action);
}

void TrafficState::addVerifiedHead(const GroupId& group, const PrimaryTenure& primary, const LogPoint& head, BootTime requestedAt)
{
    if (this->isKnownPrimary(group, primary))
        this->proofs.add(group, primary.generation, requestedAt, head);
}

void TrafficState::onHead(const UpstreamId& upstream, const LogPoint& head, BootTime requestedAt)
{
    const UpstreamEntry* entry = this->upstreams->find(upstream);
    if (entry == nullptr)
        return;
    this->lastKnownHeads[upstream] = { head, this->getClock().bootNow() };
    this->onTerm(upstream, head.term);
    std::optional<PrimaryTenure> primary = this->view.findPrimaryTenure(entry->group, *this->upstreams);
    if (!primary || primary->upstream != upstream || !this->hasValidLease(entry->group))
        return;
    // The response to a request from before the promotion may show the log of a replica.
    std::map<GroupId, Tenure>::const_iterator tenure = this->tenures.find(entry->group);
    bool isWithinTenure = tenure == this->tenures.end() || tenure->second.generation != primary->generation || tenure->second.knownSince <= requestedAt;
    if (isWithinTenure)
        this->proofs.add(entry->group, primary->generation, requestedAt, head);
}

void TrafficState::updateMetrics(GatewayMetrics& metrics) const
{
    std::map<GroupId, LogPoint> heads;
    std::map<std::string, Duration> ages;
    for (const FreshnessProofs::Newest& proof : this->proofs.listNewest()) {
        heads[proof.group] = proof.head;
        ages[proof.group.toString()] = std::chrono::duration_cast<Duration>(this->getClock().bootNow() - proof.requestedAt);
    }
    std::vector<GatewayMetrics::Upstream> upstreamGauges;
    for (const std::pair<const UpstreamId, std::shared_ptr<UpstreamPool>>& entry : this->pools) {
        const UpstreamPool& pool = *entry.second;
        GatewayMetrics::Upstream gauges { entry.first.toString(), pool.getUpstream().group.toString(), pool.getUpstream().zone == this->zone, pool.getNumConnections(), pool.getNumRunning(), pool.getNumWaiting(), pool.getLatency(), 0, pool.getNumBytes(), pool.getCounters().numOpened, pool.getCounters().numReplaced, pool.getCounters().numGrants, pool.getCounters().numGrantsOfIdle };
        std::optional<LogPoint> seen = this->findLastKnownHead(entry.first);
        std::map<GroupId, LogPoint>::const_iterator head = heads.find(pool.getUpstream().group);
        if (seen && head != heads.end() && seen->position < head->second.position)
            gauges.lag = head->second.position.value() - seen->position.value();
        gauges.isEjected = this->health.isEjected(entry.first);
        if (std::optional<ConcurrencyPolicy::Evidence> evidence = pool.getCapacityEvidence())
            gauges.capacity = { evidence->limit, evidence->numSamples, evidence->age };
        upstreamGauges.push_back(std::move(gauges));
    }
    metrics.setUpstreams(upstreamGauges);
    metrics.setFreshnessProofAges(ages);
}

std::optional<LogPoint> TrafficState::findLastKnownHead(const UpstreamId& upstream) const
{
    std::map<UpstreamId, KnownHead>::const_iterator seen = this->lastKnownHeads.find(upstream);
    return seen == this->lastKnownHeads.end() ? std::nullopt : std::optional<LogPoint>(seen->second.head);
}

std::optional<BootTime> TrafficState::findNewestProof(const GroupId& group) const
{
    return this->proofs.findNewest(group, this->view.getGeneration(group));
}

void TrafficState::failUnresponsiveConnections()
{
    std::map<UpstreamId, std::shared_ptr<UpstreamPool>> all = this->pools;
    for (const std::pair<const UpstreamId, std::shared_ptr<UpstreamPool>>& pool : all)
        pool.second->failUnresponsive();
}

std::shared_ptr<UpstreamPool> TrafficState::findPool(const UpstreamId& upstream)
{
    std::map<UpstreamId, std::shared_ptr<UpstreamPool>>::iterator found = this->pools.find(upstream);
    if (found != this->pools.end())
        return found->second;
    const UpstreamEntry* entry = this->upstreams->find(upstream);
    if (entry == nullptr)
        return nullptr;
    std::shared_ptr<UpstreamPool> pool = std::make_shared<UpstreamPool>(this->dependencies, *entry);
    if (this->discoversCapacity)
        pool->setConcurrencyPolicy(std::make_unique<DiscoveredConcurrency>(upstream, entry->slots, this->getClock(), this->health.getPauses()));
    this->pools.emplace(upstream, std::move(pool));
    this->applyShare(*entry);
    return this->pools.at(upstream);
}

std::shared_ptr<ConnectionSource> TrafficState::findSource(const UpstreamId& upstream)
{
    std::map<UpstreamId, std::shared_ptr<BorrowingSource>>::const_iterator borrowing = this->borrowingSources.find(upstream);
    if (borrowing != this->borrowingSources.end())
        return borrowing->second;
    std::shared_ptr<UpstreamPool> pool = this->findPool(upstream);
    // The decision on borrowing is made with the pool.
    borrowing = this->borrowingSources.find(upstream);
    return borrowing == this->borrowingSources.end() ? std::shared_ptr<ConnectionSource>(pool) : borrowing->second;
}

std::shared_ptr<const ConnectionSource> TrafficState::peekSource(const UpstreamEntry& upstream) const
{
    std::map<UpstreamId, std::shared_ptr<BorrowingSource>>::const_iterator borrowing = this->borrowingSources.find(upstream.id);
    if (borrowing != this->borrowingSources.end())
        return borrowing->second;
    std::map<UpstreamId, std::shared_ptr<UpstreamPool>>::const_iterator found = this->pools.find(upstream.id);
    if (found != this->pools.end())
        return found->second;
    std::shared_ptr<UpstreamPool> pool = std::make_shared<UpstreamPool>(this->dependencies, upstream);
    pool->setShare(this->findMaximumConnections(upstream.group), this->countUsers(upstream));
    pool->setWorkspaces(this->workspaceWeights);
    std::vector<FleetMember> lenders = this->lendingPlan.chooseLenders(upstream.id);
    if (!this->needsLenders(*pool, lenders))
        return pool;
    std::shared_ptr<BorrowingSource> source = std::make_shared<BorrowingSource>(*this->borrower, pool);
    source->setLenders(std::move(lenders));
    return source;
}

int TrafficState::findMaximumConnections(const GroupId& group) const
{
    if (this->routes == nullptr)
        return defaultMaximumConnections;
    std::map<GroupId, GroupConfig>::const_iterator found = this->routes->groups.find(group);
    bool isKnown = found != this->routes->groups.end() && found->second.maximumConnections > 0;
    return isKnown ? found->second.maximumConnections : defaultMaximumConnections;
}

void TrafficState::applyShares()
{
    for (const std::pair<const UpstreamId, std::shared_ptr<UpstreamPool>>& pool : this->pools)
        this->applyShare(pool.second->getUpstream());
}

void TrafficState::applyShare(const UpstreamEntry& upstream)
{
    const std::shared_ptr<UpstreamPool>& pool = this->pools.at(upstream.id);
    int maximum = this->findMaximumConnections(upstream.group);
    pool->setShare(maximum, this->countUsers(upstream));
    pool->setWorkspaces(this->workspaceWeights);
    std::vector<FleetMember> lenders = this->lendingPlan.chooseLenders(upstream.id);
    if (!this->needsLenders(*pool, lenders)) {
        this->borrowingSources.erase(upstream.id);
        return;
    }
    bool isLender = std::any_of(lenders.begin(), lenders.end(), [this](const FleetMember& lender) { return lender.id == this->dependencies.self; });
    // The lenders share the connections among themselves. The other instances open one only when no lender lends.
    if (isLender)
        pool->setShare(maximum, this->lendingPlan.countLenders());
    else
        pool->setMaximum(maximumWhenBorrowing);
    // Connections by workspace do not suffice for every instance, whatever its share.
    if (this->workspaceWeights != nullptr)
        pool->setIdleShare(isLender ? computeLenderShare(static_cast<std::size_t>(std::max(1, maximum - 1)), this->lendingPlan.countLenders()) : 0);
    std::shared_ptr<BorrowingSource>& source = this->borrowingSources[upstream.id];
    if (source == nullptr)
        source = std::make_shared<BorrowingSource>(*this->borrower, pool);
    source->setLenders(std::move(lenders));
}

std::size_t TrafficState::countUsers(const UpstreamEntry& upstream) const
{
    // Each instance uses one replica of a group where possible, and every instance sends writes to the primary.
    std::optional<PrimaryTenure> primary = this->view.findPrimaryTenure(upstream.group, *this->upstreams);
    if (!primary || primary->upstream == upstream.id)
        return this->numInstances;
    std::ptrdiff_t numReplicas = std::count_if(this->upstreams->entries.begin(), this->upstreams->entries.end(), [&](const std::pair<const UpstreamId, UpstreamEntry>& entry) {
        return entry.second.group == upstream.group && entry.first != primary->upstream && !entry.second.isLeaving;
    });
    std::size_t divisor = static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, numReplicas));
    return (this->numInstances + divisor - 1) / divisor;
}

void TrafficState::addFreshnessProofs(const std::vector<FreshnessProofs::Newest>& others)
{
    for (const FreshnessProofs::Newest& proof : others) {
        if (proof.generation == this->view.getGeneration(proof.group))
            this->proofs.add(proof.group, proof.generation, proof.requestedAt, proof.head);
    }
}

} // namespace lentiljunction
