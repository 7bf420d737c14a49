#include "lentiljunction/leadership/Failover.h"

#include "lentiljunction/leadership/LeaseTracker.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// From the decision to its entry in the record: some calls to a slow store. A primary that could
    /// not be reached may work again by then, and is looked at anew.
    constexpr std::chrono::milliseconds announceLimit { 1000 };
    /// How long the replicas are given to answer, and in a planned change to catch up: ten round
    /// trips between availability zones and the usual replication lag.
    constexpr std::chrono::milliseconds surveyLimit { 400 };
    /// Between questions to upstreams that have not answered, or do not lead yet.
    constexpr std::chrono::milliseconds askInterval { 60 };
    /// A promoted upstream that does not lead by then is given up: three times the longest
    /// promotion that the sites state.
    constexpr std::chrono::milliseconds leadLimit { 3000 };

} // namespace

Failover::Failover(GroupId group, UpstreamId oldPrimary, std::vector<UpstreamId> candidates, bool isPlanned, Term knownTerm, TimePoint now)
    : group(std::move(group))
    , oldPrimary(std::move(oldPrimary))
    , candidates(std::move(candidates))
    , isPlanned(isPlanned)
    , greatestTerm(knownTerm)
    , began(now)
    , surveyBegan(now)
    , lastAsked(now - askInterval)
    , promotedAt(now)
{
    this->act(Action::Kind::WriteChanging);
}

bool Failover::mayAnnounce(TimePoint now) const
{
    return this->step == Step::Announcing && now - this->began <= announceLimit;
}

void Failover::onChangingWritten(BootTime acknowledgedAt, TimePoint now)
{
    if (this->step != Step::Announcing)
        return;
    this->step = Step::Surveying;
    this->permitsEnd = acknowledgedAt + leaseDuration + leaseMargin;
    this->surveyBegan = now;
    this->act(Action::Kind::AskInstances);
    this->act(Action::Kind::DemoteOld, this->oldPrimary);
}

void Failover::onInstancesKnown(const std::set<InstanceId>& instances)
{
    if (!this->awaited)
        this->awaited = instances;
}

void Failover::onInstanceStopped(const InstanceId& instance)
{
    if (this->awaited)
        this->awaited->erase(instance);
}

void Failover::onStatus(const UpstreamId& upstream, const LeadStatus& status)
{
    this->statuses[upstream] = status;
    this->greatestTerm = std::max(this->greatestTerm, status.term);
    // A former primary may still take itself for one, in its old term.
    bool isLeading = status.isPrimary && status.term >= this->requiredTerm;
    if (this->step == Step::Confirming && upstream == this->chosen && isLeading) {
        this->newStatus = status;
        this->step = Step::Publishing;
        this->act(Action::Kind::WriteStable, upstream);
    }
}

void Failover::onOldDemoted(const LeadStatus& status)
{
    this->oldStatus = status;
    this->greatestTerm = std::max(this->greatestTerm, status.term);
}

void Failover::onPromoteAnswer(bool isAccepted, TimePoint now)
{
    if (this->step != Step::Promoting)
        return;
    if (isAccepted) {
        this->step = Step::Confirming;
        this->promotedAt = now;
        return;
    }
    this->refused.insert(*this->chosen);
    this->statuses.erase(*this->chosen);
    this->chosen.reset();
    this->step = Step::Surveying;
    this->surveyBegan = now;
}

void Failover::onPromoteUnanswered(TimePoint now)
{
    // The call may have been taken, so only its own upstream may be asked for again.
    if (this->step != Step::Promoting)
        return;
    this->promotedAt = now;
    this->act(Action::Kind::Promote, *this->chosen);
}

std::vector<Failover::Action> Failover::takeActions(BootTime bootNow, TimePoint now)
{
    if (this->step == Step::Surveying)
        this->survey(bootNow, now);
    if (this->step == Step::Confirming)
        this->confirm(now);
    return std::exchange(this->actions, {});
}

void Failover::survey(BootTime bootNow, TimePoint now)
{
    if (this->areInstancesStopped(bootNow) && this->isSurveyComplete(now)) {
        this->chosen = this->chooseBest();
        if (this->chosen) {
            this->requiredTerm = this->isLeadingNow(*this->chosen) ? this->greatestTerm : this->greatestTerm.next();
            this->step = Step::Promoting;
            this->act(Action::Kind::Promote, *this->chosen);
            return;
        }
    }
    if (now - this->lastAsked < askInterval)
        return;
    this->lastAsked = now;
    if (now - this->surveyBegan > leadLimit)
        this->refused.clear();
    for (const UpstreamId& candidate : this->candidates)
        this->act(Action::Kind::AskStatus, candidate);
}

void Failover::confirm(TimePoint now)
{
    if (now - this->promotedAt > leadLimit) {
        this->step = Step::Promoting;
        this->promotedAt = now;
        this->act(Action::Kind::Promote, *this->chosen);
        return;
    }
    if (now - this->lastAsked < askInterval)
        return;
    this->lastAsked = now;
    this->act(Action::Kind::AskLead, *this->chosen);
}

bool Failover::areInstancesStopped(BootTime bootNow) const
{
    return (this->awaited && this->awaited->empty()) || bootNow >= this->permitsEnd;
}

bool Failover::isSurveyComplete(TimePoint now) const
{
    if (now - this->surveyBegan >= surveyLimit)
        return true;
    bool haveAllAnswered = std::all_of(this->candidates.begin(), this->candidates.end(), [this](const UpstreamId& candidate) {
        return this->statuses.count(candidate) > 0 || this->refused.count(candidate) > 0;
    });
    if (!haveAllAnswered)
        return false;
    if (!this->isPlanned)
        return true;
    std::optional<UpstreamId> best = this->chooseBest();
    return this->oldStatus && best && !(this->statuses.at(*best).received < this->oldStatus->received);
}

bool Failover::isLeadingNow(const UpstreamId& candidate) const
{
    const LeadStatus& status = this->statuses.at(candidate);
    return status.isPrimary && status.term == this->greatestTerm;
}

std::optional<UpstreamId> Failover::chooseBest() const
{
    std::optional<UpstreamId> best;
    for (const UpstreamId& candidate : this->candidates) {
        std::map<UpstreamId, LeadStatus>::const_iterator status = this->statuses.find(candidate);
        if (status == this->statuses.end() || this->refused.count(candidate) > 0)
            continue;
        // A former holder may have promoted it already.
        if (this->isLeadingNow(candidate))
            return candidate;
        if (!best || this->statuses.at(*best).received < status->second.received)
            best = candidate;
    }
    return best;
}

const char* Failover::getStepName() const
{
    switch (this->step) {
    case Step::Announcing:
        return "announcing";
    case Step::Surveying:
        return "surveying";
    case Step::Promoting:
        return "promoting";
    case Step::Confirming:
        return "confirming";
    case Step::Publishing:
        return "publishing";
    case Step::Done:
        return "done";
    }
    return "unknown";
}

} // namespace lentiljunction
