#include "lentiljunction/failover/GroupMonitor.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Probes in a row that must fail before other gates are asked.
    constexpr int failuresBeforeAsking = 2;
    /// A gate that does not answer within this time counts as unreachable.
    constexpr Duration opinionTimeout = std::chrono::milliseconds(100);
    /// The delay before the second and later gates try.
    constexpr Duration backOffStep = std::chrono::milliseconds(150);
    constexpr Duration backOffJitter = std::chrono::milliseconds(50);
    /// The least time between two promotions started here.
    constexpr Duration retryDelay = std::chrono::milliseconds(200);
    /// After another gate was seen fencing, its promotion gets this long before this gate tries.
    constexpr Duration deference = std::chrono::milliseconds(400);
    /// How long a mere mismatch of terms may last before it is healed by a promotion.
    constexpr Duration stuckLimit = std::chrono::milliseconds(500);

} // namespace

GroupMonitor::GroupMonitor(DatabaseConfig database, UpstreamId ownUpstream, std::uint64_t seed)
    : database(std::move(database))
    , ownUpstream(std::move(ownUpstream))
    , random(seed)
{
    for (const UpstreamConfig& upstream : this->database.upstreams)
        this->watches[upstream.id];
}

void GroupMonitor::onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint)
{
    Watch& watch = this->watches[upstream];
    watch.status = status;
    watch.numFailures = 0;
    watch.wasProbed = true;
}

void GroupMonitor::onProbeFailed(const UpstreamId& upstream, TimePoint)
{
    Watch& watch = this->watches[upstream];
    watch.numFailures++;
    watch.wasProbed = true;
}

void GroupMonitor::onOpinionsAsked(std::size_t asked, TimePoint now)
{
    this->phase = Phase::Asking;
    this->phaseEnds = now + opinionTimeout;
    this->numAsked = asked;
    this->numOpinions = 0;
    this->numAgreeing = 0;
}

void GroupMonitor::onOpinion(bool reachesPrimary)
{
    this->numOpinions++;
    if (!reachesPrimary)
        this->numAgreeing++;
}

void GroupMonitor::onPromotionEnded(TimePoint now)
{
    this->phase = Phase::Watching;
    this->phaseEnds = now + retryDelay + Duration(static_cast<Duration::rep>(this->random.below(backOffJitter.count())));
    this->stuckSince = std::nullopt;
}

GroupMonitor::Action GroupMonitor::getNextAction(TimePoint now)
{
    if (this->phase == Phase::Promoting)
        return Action::None;

    this->deferToOthers(now);
    if (!this->needsPromotion(now) || !this->hasMajority()) {
        if (this->phase != Phase::Watching)
            this->phaseEnds = now;
        this->phase = Phase::Watching;
        return Action::None;
    }

    switch (this->phase) {
    case Phase::Watching:
        if (now < this->phaseEnds)
            return Action::None;
        if (!this->isPrimaryReachable())
            return Action::AskOpinions;
        this->startBackOff(now);
        return Action::None;
    case Phase::Asking:
        if (this->isOpinionDecided(now))
            this->startBackOff(now);
        else if (now >= this->phaseEnds || this->numOpinions >= this->numAsked)
            this->onPromotionEnded(now);
        return Action::None;
    case Phase::BackingOff:
        if (now < this->phaseEnds)
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
    for (const std::pair<const UpstreamId, Watch>& entry : this->watches) {
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
    for (const std::pair<const UpstreamId, Watch>& entry : this->watches) {
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
    return this->watches.at(*primary).status->head.term;
}

bool GroupMonitor::isPrimaryReachable() const
{
    std::optional<UpstreamId> primary = this->getPrimary();
    return primary && this->isReachable(*primary);
}

bool GroupMonitor::isReachable(const UpstreamId& upstream) const
{
    std::map<UpstreamId, Watch>::const_iterator found = this->watches.find(upstream);
    return found != this->watches.end() && found->second.status && found->second.numFailures < failuresBeforeAsking;
}

const UpstreamStatus* GroupMonitor::findStatus(const UpstreamId& upstream) const
{
    std::map<UpstreamId, Watch>::const_iterator found = this->watches.find(upstream);
    if (found == this->watches.end() || !found->second.status)
        return nullptr;
    return &*found->second.status;
}

std::vector<UpstreamId> GroupMonitor::getPromotableUpstreams() const
{
    std::vector<UpstreamId> promotable;
    for (const std::pair<const UpstreamId, Watch>& entry : this->watches) {
        if (this->isReachable(entry.first) && !entry.second.status->isLeaving)
            promotable.push_back(entry.first);
    }
    return promotable;
}

bool GroupMonitor::needsPromotion(TimePoint now)
{
    bool wasEachProbed = std::all_of(this->watches.begin(), this->watches.end(), [](const std::pair<const UpstreamId, Watch>& entry) { return entry.second.wasProbed; });
    if (!wasEachProbed)
        return false;

    if (!this->isPrimaryReachable())
        return true;

    bool isPrimaryLeaving = this->watches.at(*this->getPrimary()).status->isLeaving;
    if (isPrimaryLeaving && !this->getPromotableUpstreams().empty())
        return true;
    return this->isStuckFenced(now);
}

bool GroupMonitor::isStuckFenced(TimePoint now)
{
    if (this->getHighestTerm() <= this->getPrimaryTerm()) {
        this->stuckSince = std::nullopt;
        return false;
    }
    if (!this->stuckSince)
        this->stuckSince = now;
    return now - *this->stuckSince >= stuckLimit;
}

bool GroupMonitor::hasMajority() const
{
    std::size_t numReachable = 0;
    for (const std::pair<const UpstreamId, Watch>& entry : this->watches) {
        if (this->isReachable(entry.first))
            numReachable++;
    }
    return numReachable >= this->database.getMajority();
}

std::size_t GroupMonitor::getOrder() const
{
    const UpstreamStatus* own = this->findStatus(this->ownUpstream);
    if (own == nullptr || !this->isReachable(this->ownUpstream))
        return this->watches.size();

    std::size_t order = 0;
    for (const std::pair<const UpstreamId, Watch>& entry : this->watches) {
        if (entry.first == this->ownUpstream || !this->isReachable(entry.first))
            continue;
        const LogPoint& head = entry.second.status->head;
        if (own->head < head || (head == own->head && entry.first < this->ownUpstream))
            order++;
    }
    return order;
}

void GroupMonitor::deferToOthers(TimePoint now)
{
    Term highest = this->getHighestTerm();
    bool isOtherActing = highest > this->highestSeen && highest > this->getPrimaryTerm() && this->highestSeen != Term();
    this->highestSeen = highest;
    if (!isOtherActing)
        return;
    this->phase = Phase::Watching;
    this->phaseEnds = now + deference;
}

void GroupMonitor::startBackOff(TimePoint now)
{
    Duration jitter(static_cast<Duration::rep>(this->random.below(backOffJitter.count())));
    this->phase = Phase::BackingOff;
    this->phaseEnds = now + backOffStep * static_cast<int>(this->getOrder()) + jitter;
}

bool GroupMonitor::isOpinionDecided(TimePoint now) const
{
    if (this->numAgreeing > 0)
        return true;

    bool isSomeoneSilent = this->numOpinions < this->numAsked || this->numAsked == 0;
    return now >= this->phaseEnds && isSomeoneSilent;
}

} // namespace lentiljunction
