#include "lentiljunction/failover/GroupMonitor.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// The number of consecutive failed probes after which the other gates are asked.
    constexpr int failuresBeforeAsking = 2;
    /// A gate that does not answer within this time counts as unreachable.
    constexpr Duration reachabilityTimeout = std::chrono::milliseconds(100);
    /// The additional delay before the promotion for each upstream with a higher log head.
    constexpr Duration backOffStep = std::chrono::milliseconds(150);
    constexpr Duration backOffJitter = std::chrono::milliseconds(50);
    /// The minimum time between two promotions by this gate.
    constexpr Duration retryDelay = std::chrono::milliseconds(200);
    /// How long this gate waits for the promotion of another gate whose fencing it has observed.
    constexpr Duration otherPromotionDelay = std::chrono::milliseconds(400);
    /// How long an upstream may stay fenced above the primary's term before a promotion repairs this.
    constexpr Duration termMismatchTimeout = std::chrono::milliseconds(500);

} // namespace

GroupMonitor::GroupMonitor(DatabaseConfig database, UpstreamId ownUpstream, std::uint64_t seed)
    : database(std::move(database))
    , ownUpstream(std::move(ownUpstream))
    , random(seed)
{
    for (const UpstreamConfig& upstream : this->database.upstreams)
        this->probeStates[upstream.id];
}

void GroupMonitor::onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint)
{
    ProbeState& probeState = this->probeStates[upstream];
    probeState.status = status;
    probeState.numFailures = 0;
    probeState.wasProbed = true;
}

void GroupMonitor::onProbeFailed(const UpstreamId& upstream, TimePoint)
{
    ProbeState& probeState = this->probeStates[upstream];
    probeState.numFailures++;
    probeState.wasProbed = true;
}

void GroupMonitor::onReachabilityRequested(std::size_t numRequests, TimePoint now)
{
    this->phase = Phase::AwaitingReachabilityReports;
    this->phaseEndsAt = now + reachabilityTimeout;
    this->numRequested = numRequests;
    this->numReports = 0;
    this->numAgreeing = 0;
}

void GroupMonitor::onReachabilityReport(bool reachesPrimary)
{
    this->numReports++;
    if (!reachesPrimary)
        this->numAgreeing++;
}

void GroupMonitor::onPromotionEnded(TimePoint now)
{
    this->phase = Phase::Monitoring;
    this->phaseEndsAt = now + retryDelay + Duration(static_cast<Duration::rep>(this->random.below(backOffJitter.count())));
    this->termMismatchSince = std::nullopt;
}

GroupMonitor::Action GroupMonitor::getNextAction(TimePoint now)
{
    if (this->phase == Phase::Promoting)
        return Action::None;

    this->deferToOtherGates(now);
    if (!this->needsPromotion(now) || !this->hasMajority()) {
        if (this->phase != Phase::Monitoring)
            this->phaseEndsAt = now;
        this->phase = Phase::Monitoring;
        return Action::None;
    }

    switch (this->phase) {
    case Phase::Monitoring:
        if (now < this->phaseEndsAt)
            return Action::None;
        if (!this->isPrimaryReachable())
            return Action::RequestReachabilityReports;
        this->startBackOff(now);
        return Action::None;
    case Phase::AwaitingReachabilityReports:
        if (this->isFailureConfirmed(now))
            this->startBackOff(now);
        else if (now >= this->phaseEndsAt || this->numReports >= this->numRequested)
            this->onPromotionEnded(now);
        return Action::None;
    case Phase::BackingOff:
        if (now < this->phaseEndsAt)
            return Action::None;
        this->phase = Phase::Promoting;
        return Action::Promote;
    case Phase::Promoting:
        return Action::None;
    }
    return Action::None;
}

std::optional<UpstreamId> GroupMonitor::getPrimary() const
{
    std::optional<UpstreamId> primary;
    Term highest;
    for (const std::pair<const UpstreamId, ProbeState>& entry : this->probeStates) {
        const std::optional<UpstreamStatus>& status = entry.second.status;
        if (!status || !status->isPrimary || (primary && status->head.term <= highest))
            continue;
        primary = entry.first;
        highest = status->head.term;
    }
    return primary;
}

Term GroupMonitor::getHighestTerm() const
{
    Term highest;
    for (const std::pair<const UpstreamId, ProbeState>& entry : this->probeStates) {
        if (entry.second.status)
            highest = std::max(highest, entry.second.status->fencedTerm);
    }
    return highest;
}

Term GroupMonitor::getPrimaryTerm() const
{
    std::optional<UpstreamId> primary = this->getPrimary();
    if (!primary)
        return Term();
    return this->probeStates.at(*primary).status->head.term;
}

bool GroupMonitor::isPrimaryReachable() const
{
    std::optional<UpstreamId> primary = this->getPrimary();
    return primary && this->isReachable(*primary);
}

bool GroupMonitor::isReachable(const UpstreamId& upstream) const
{
    std::map<UpstreamId, ProbeState>::const_iterator found = this->probeStates.find(upstream);
    return found != this->probeStates.end() && found->second.status && found->second.numFailures < failuresBeforeAsking;
}

const UpstreamStatus* GroupMonitor::findStatus(const UpstreamId& upstream) const
{
    std::map<UpstreamId, ProbeState>::const_iterator found = this->probeStates.find(upstream);
    if (found == this->probeStates.end() || !found->second.status)
        return nullptr;
    return &*found->second.status;
}

std::vector<UpstreamId> GroupMonitor::getPromotableUpstreams() const
{
    std::vector<UpstreamId> promotable;
    for (const std::pair<const UpstreamId, ProbeState>& entry : this->probeStates) {
        if (this->isReachable(entry.first) && !entry.second.status->isLeaving)
            promotable.push_back(entry.first);
    }
    return promotable;
}

bool GroupMonitor::needsPromotion(TimePoint now)
{
    bool wereAllProbed = std::all_of(this->probeStates.begin(), this->probeStates.end(), [](const std::pair<const UpstreamId, ProbeState>& entry) { return entry.second.wasProbed; });
    if (!wereAllProbed)
        return false;

    if (!this->isPrimaryReachable())
        return true;

    bool isPrimaryLeaving = this->probeStates.at(*this->getPrimary()).status->isLeaving;
    if (isPrimaryLeaving && !this->getPromotableUpstreams().empty())
        return true;
    return this->hasPersistentTermMismatch(now);
}

bool GroupMonitor::hasPersistentTermMismatch(TimePoint now)
{
    if (this->getHighestTerm() <= this->getPrimaryTerm()) {
        this->termMismatchSince = std::nullopt;
        return false;
    }
    if (!this->termMismatchSince)
        this->termMismatchSince = now;
    return now - *this->termMismatchSince >= termMismatchTimeout;
}

bool GroupMonitor::hasMajority() const
{
    std::size_t numReachable = 0;
    for (const std::pair<const UpstreamId, ProbeState>& entry : this->probeStates) {
        if (this->isReachable(entry.first))
            numReachable++;
    }
    return numReachable >= this->database.getMajority();
}

std::size_t GroupMonitor::countUpstreamsAhead() const
{
    const UpstreamStatus* own = this->findStatus(this->ownUpstream);
    if (own == nullptr || !this->isReachable(this->ownUpstream))
        return this->probeStates.size();

    std::size_t numAhead = 0;
    for (const std::pair<const UpstreamId, ProbeState>& entry : this->probeStates) {
        if (entry.first == this->ownUpstream || !this->isReachable(entry.first))
            continue;
        const LogPoint& head = entry.second.status->head;
        if (own->head < head || (head == own->head && entry.first < this->ownUpstream))
            numAhead++;
    }
    return numAhead;
}

void GroupMonitor::deferToOtherGates(TimePoint now)
{
    Term highest = this->getHighestTerm();
    bool isOtherGatePromoting = highest > this->highestSeen && highest > this->getPrimaryTerm() && this->highestSeen != Term();
    this->highestSeen = highest;
    if (!isOtherGatePromoting)
        return;
    this->phase = Phase::Monitoring;
    this->phaseEndsAt = now + otherPromotionDelay;
}

void GroupMonitor::startBackOff(TimePoint now)
{
    Duration jitter(static_cast<Duration::rep>(this->random.below(backOffJitter.count())));
    this->phase = Phase::BackingOff;
    this->phaseEndsAt = now + backOffStep * static_cast<int>(this->countUpstreamsAhead()) + jitter;
}

bool GroupMonitor::isFailureConfirmed(TimePoint now) const
{
    if (this->numAgreeing > 0)
        return true;

    bool hasUnansweredQuery = this->numReports < this->numRequested || this->numRequested == 0;
    return now >= this->phaseEndsAt && hasUnansweredQuery;
}

} // namespace lentiljunction
