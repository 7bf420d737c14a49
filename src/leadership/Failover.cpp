#include "lentiljunction/leadership/Failover.h"

#include "lentiljunction/leadership/CoordinatorHandover.h"
#include "lentiljunction/leadership/LeaseTracker.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Time for the replicas to report their status and, in a planned failover, to catch up: ten round
    /// trips between availability zones plus the usual replication lag.
    constexpr std::chrono::milliseconds surveyTimeout { 400 };
    constexpr std::chrono::milliseconds statusRequestInterval { 60 };
    /// A promotion that has not taken effect after this time is repeated. Three times the longest
    /// promotion time that the deployments specify.
    constexpr std::chrono::milliseconds promotionTimeout { 3000 };
    /// A call is sent once the former coordinator can act no more and this one has a lease.
    constexpr std::chrono::milliseconds callPreparationTimeout = coordinatorHandoverDelay + std::chrono::milliseconds(1000);
    /// Accepted calls without effect, of one coordinator or of several in turn, after which other candidates are tried.
    constexpr std::size_t maximumVainCalls = 2;

} // namespace

Failover::Failover(GroupId group, UpstreamId oldPrimary, std::vector<UpstreamId> candidates, bool isPlanned, Term knownTerm, TimePoint now)
    : group(std::move(group))
    , oldPrimary(std::move(oldPrimary))
    , candidates(std::move(candidates))
    , isPlanned(isPlanned)
    , recordedTerm(knownTerm)
    , greatestTerm(knownTerm)
    , startedAt(now)
    , surveyStartedAt(now)
    , lastRequestAt(now - statusRequestInterval)
    , promotedAt(now)
{
    this->queueAction(Action::Kind::WriteChanging);
}

void Failover::compareLogs(LogPoint newBaseline, std::set<UpstreamId> leaving, TimePoint giveUpTime)
{
    this->baseline = newBaseline;
    this->leavingCandidates = std::move(leaving);
    this->giveUpAt = giveUpTime;
}

void Failover::requireAcknowledgedCommits(CommitSurvey survey, bool isConfirmed, TimePoint giveUpTime)
{
    this->commits = std::move(survey);
    this->isRecordConfirmed = isConfirmed;
    this->giveUpAt = giveUpTime;
}

void Failover::inheritPromotions(std::vector<UpstreamId> upstreams)
{
    this->inheritedTargets = std::move(upstreams);
    for (const UpstreamId& upstream : this->inheritedTargets) {
        std::size_t numCalls = static_cast<std::size_t>(std::count(this->inheritedTargets.begin(), this->inheritedTargets.end(), upstream));
        if (numCalls < maximumVainCalls)
            continue;
        this->refusedCandidates.insert(upstream);
        this->vainCandidates.insert(upstream);
    }
}

void Failover::setMembers(const std::vector<CommitSurvey::Member>& members)
{
    if (!this->commits)
        return;
    this->commits->setMembers(members);
    this->candidates.clear();
    for (const CommitSurvey::Member& member : members) {
        if (member.isListed)
            this->candidates.push_back(member.upstream);
    }
}

void Failover::onReplicaPaused(const UpstreamId& upstream, const ReplicationStatus& status, Term term)
{
    this->onStatus(upstream, status);
    if (this->commits && this->refusedCandidates.count(upstream) == 0)
        this->commits->onStatus(upstream, status, status.term < term);
    this->numLogs++;
}

void Failover::onUpstreamsRefreshed(bool isRead)
{
    this->isRefreshing = false;
    if (isRead)
        this->numLogsConfirmed = this->numLogsAtRequest;
}

bool Failover::confirmLogs()
{
    if (this->numLogsConfirmed == this->numLogs)
        return true;
    if (!std::exchange(this->isRefreshing, true)) {
        this->numLogsAtRequest = this->numLogs;
        this->queueAction(Action::Kind::RefreshUpstreams);
    }
    return false;
}

bool Failover::mayAnnounce(TimePoint now) const
{
    return this->step == Step::Announcing && now - this->startedAt <= announcementTimeout;
}

void Failover::onChangingWritten(BootTime acknowledgedAt, TimePoint now)
{
    if (this->step != Step::Announcing)
        return;
    this->step = Step::Surveying;
    this->leasesEnd = acknowledgedAt + leaseDuration + leaseMargin;
    this->surveyStartedAt = now;
    this->queueAction(Action::Kind::RequestConfirmations);
    this->queueAction(Action::Kind::DemoteOldPrimary, this->oldPrimary);
}

void Failover::onInstancesListed(const std::set<InstanceId>& instances)
{
    if (!this->unconfirmedInstances)
        this->unconfirmedInstances = instances;
}

void Failover::onInstanceConfirmed(const InstanceId& instance)
{
    if (this->unconfirmedInstances)
        this->unconfirmedInstances->erase(instance);
}

void Failover::onStatus(const UpstreamId& upstream, const ReplicationStatus& status)
{
    this->statuses[upstream] = status;
    this->greatestTerm = std::max(this->greatestTerm, status.term);
    bool hasTakenLead = status.isPrimary && this->recordedTerm < status.term;
    if (hasTakenLead && this->vainCandidates.erase(upstream) > 0)
        this->refusedCandidates.erase(upstream);
    if (this->commits && this->refusedCandidates.count(upstream) == 0)
        this->commits->onStatus(upstream, status, false);
    // A former primary that was partitioned may still report to be the primary in its old term.
    bool isPromoted = status.isPrimary && status.term >= this->requiredTerm;
    if (this->step == Step::Confirming && upstream == this->promotionTarget && isPromoted) {
        this->newPrimaryStatus = status;
        this->step = Step::Publishing;
        this->queueAction(Action::Kind::WriteStable, upstream);
    }
}

void Failover::onOldPrimaryDemoted(const ReplicationStatus& status)
{
    this->oldPrimaryStatus = status;
    this->greatestTerm = std::max(this->greatestTerm, status.term);
    // Where the record may lack failovers, another upstream may have been the last primary.
    if (!this->commits || !this->isRecordConfirmed || status.isPrimary)
        return;
    this->statuses[this->oldPrimary] = status;
    this->commits->onDemoted(status);
}

void Failover::onPromotionRecorded(bool wasRecorded, TimePoint now)
{
    if (this->step != Step::Recording)
        return;
    bool isOwn = this->callCounts.count(*this->promotionTarget) > 0;
    if (wasRecorded && !isOwn && !this->isInherited(*this->promotionTarget))
        this->inheritedTargets.push_back(*this->promotionTarget);
    this->callCounts.emplace(*this->promotionTarget, CallCount());
    this->step = Step::Promoting;
    this->promotedAt = now;
    this->queueAction(Action::Kind::Promote, *this->promotionTarget);
}

std::set<UpstreamId> Failover::listRefusedPromotions() const
{
    std::set<UpstreamId> refused;
    for (const std::pair<const UpstreamId, CallCount>& calls : this->callCounts) {
        // A former process of this coordinator may have sent calls in the same epoch.
        if (calls.second.withoutEffect == calls.second.sent && !this->isInherited(calls.first))
            refused.insert(calls.first);
    }
    return refused;
}

bool Failover::isInherited(const UpstreamId& upstream) const
{
    return std::find(this->inheritedTargets.begin(), this->inheritedTargets.end(), upstream) != this->inheritedTargets.end();
}

void Failover::onPromotionSent(TimePoint now)
{
    if (!this->calledAt)
        this->calledAt = now;
    this->callCounts[*this->promotionTarget].sent++;
}

void Failover::onPromotionResponse(bool isAccepted, TimePoint now)
{
    if (this->step != Step::Promoting)
        return;
    if (isAccepted) {
        this->step = Step::Confirming;
        this->promotedAt = now;
        return;
    }
    // Only this call is known to have no effect; earlier ones may still promote the upstream.
    this->callCounts[*this->promotionTarget].withoutEffect++;
    this->passOver(*this->promotionTarget);
    this->surveyStartedAt = now;
}

void Failover::passOver(const UpstreamId& candidate)
{
    this->refusedCandidates.insert(candidate);
    if (this->commits)
        this->commits->onRefused(candidate);
    this->statuses.erase(candidate);
    this->promotionTarget.reset();
    this->step = Step::Surveying;
}

void Failover::onPromotionTimeout(TimePoint now)
{
    // The promotion may have happened, so the call may be repeated only for the same upstream.
    if (this->step != Step::Promoting)
        return;
    this->promotedAt = now;
    this->queueAction(Action::Kind::Promote, *this->promotionTarget);
}

void Failover::onPromotionNotSent(TimePoint now)
{
    if (this->step != Step::Promoting)
        return;
    this->callCounts[*this->promotionTarget].withoutEffect++;
    this->onPromotionTimeout(now);
}

std::vector<Failover::Action> Failover::takeActions(BootTime bootNow, TimePoint now)
{
    if (this->step == Step::Surveying && this->commits)
        this->advanceCommitSurvey(bootNow, now);
    else if (this->step == Step::Surveying)
        this->advanceSurvey(bootNow, now);
    if (this->step == Step::Confirming)
        this->advanceConfirmation(now);
    return std::exchange(this->actions, {});
}

void Failover::advanceSurvey(BootTime bootNow, TimePoint now)
{
    if (this->isOldPrimaryUnused(bootNow) && this->isSurveyComplete(now)) {
        this->promotionTarget = this->selectPromotionTarget(now);
        if (this->promotionTarget)
            return this->startPromotion(*this->promotionTarget, now);
    }
    if (now - this->lastRequestAt < statusRequestInterval)
        return;
    this->lastRequestAt = now;
    // A refused candidate may be accepted later, so the refusals expire.
    if (now - this->surveyStartedAt > promotionTimeout)
        this->refusedCandidates.clear();
    bool asksLeaving = this->needsLeaving();
    for (const UpstreamId& candidate : this->candidates) {
        if (asksLeaving || this->leavingCandidates.count(candidate) == 0)
            this->queueAction(Action::Kind::RequestStatus, candidate);
    }
}

bool Failover::isProgressing(BootTime bootNow, TimePoint now) const
{
    if (this->step == Step::Surveying)
        return this->commits || !this->isOldPrimaryUnused(bootNow) || (now < this->giveUpAt && this->hasOnlyDivergedLogs());
    if (!this->promotionTarget)
        return false;
    return this->calledAt ? now - *this->calledAt < promotionTimeout : now - this->targetSince < callPreparationTimeout;
}

void Failover::startPromotion(const UpstreamId& target, TimePoint now)
{
    this->promotionTarget = target;
    this->targetSince = now;
    this->calledAt.reset();
    this->numVainCalls = 0;
    this->requiredTerm = this->isCurrentPrimary(target) ? this->greatestTerm : this->greatestTerm.next();
    this->step = Step::Recording;
    this->queueAction(Action::Kind::RecordPromotion, target);
}

void Failover::advanceCommitSurvey(BootTime bootNow, TimePoint now)
{
    // An instance may acknowledge commits of the old primary until then.
    bool isUnused = this->isOldPrimaryUnused(bootNow);
    if (isUnused) {
        if (!this->unusedSince)
            this->unusedSince = now;
        std::optional<UpstreamId> target = this->findCommitTarget(now);
        if (target && this->confirmLogs())
            return this->startPromotion(*target, now);
    }
    if (now - this->lastRequestAt < statusRequestInterval)
        return;
    this->lastRequestAt = now;
    if (now - this->surveyStartedAt > promotionTimeout)
        this->refusedCandidates.clear();
    this->queueCommitRequests(isUnused, now);
}

void Failover::queueCommitRequests(bool isUnused, TimePoint now)
{
    if (!this->commits->isDemoted())
        this->queueAction(Action::Kind::DemoteOldPrimary, this->oldPrimary);
    // An instance that does not know of the failover may still verify the old primary and acknowledge its commits, unless
    // it is a replica or no replica receives them. In a planned failover the old primary is given time to respond first.
    bool mustPause = isUnused && !this->commits->isDemoted() && (!this->isPlanned || now - *this->unusedSince >= surveyTimeout);
    // While nothing can be concluded from the logs, a pause would only keep commits of the old primary waiting, which occupy the
    // slots that its demotion needs.
    mustPause = mustPause && (this->commits->mayConclude() || now + surveyTimeout >= this->giveUpAt);
    if (!mustPause) {
        for (const UpstreamId& candidate : this->candidates)
            this->queueAction(Action::Kind::RequestStatus, candidate);
        return;
    }
    for (const UpstreamId& replica : this->commits->listUnpaused())
        this->queueAction(Action::Kind::PauseReplica, replica);
}

std::optional<UpstreamId> Failover::findCommitTarget(TimePoint now)
{
    std::optional<UpstreamId> target = this->findPromotedCandidate();
    if (!target)
        target = this->findInheritedTarget();
    if (!target)
        target = this->commits->findPreferred();
    // Replicas that stay may still catch up with one that must be replaced again soon.
    if (!target && now - *this->unusedSince >= surveyTimeout)
        target = this->commits->findAny();
    if (!target && now >= this->giveUpAt) {
        target = this->commits->findLongest();
        this->numGivenUp = target ? std::max<std::size_t>(1, this->commits->countSilent()) : 0;
    }
    return target;
}

std::optional<UpstreamId> Failover::findPromotedCandidate() const
{
    // A previous coordinator of this failover may have promoted it already.
    for (const UpstreamId& candidate : this->candidates) {
        std::map<UpstreamId, ReplicationStatus>::const_iterator status = this->statuses.find(candidate);
        bool isPromoted = status != this->statuses.end() && this->isCurrentPrimary(candidate) && this->recordedTerm < status->second.term;
        if (isPromoted && this->isRecordConfirmed && this->refusedCandidates.count(candidate) == 0)
            return candidate;
    }
    return std::nullopt;
}

void Failover::advanceConfirmation(TimePoint now)
{
    if (now - this->promotedAt > promotionTimeout) {
        this->numVainCalls++;
        if (this->numVainCalls >= maximumVainCalls) {
            this->surveyStartedAt = now;
            this->vainCandidates.insert(*this->promotionTarget);
            return this->passOver(*this->promotionTarget);
        }
        this->step = Step::Promoting;
        this->promotedAt = now;
        this->queueAction(Action::Kind::Promote, *this->promotionTarget);
        return;
    }
    if (now - this->lastRequestAt < statusRequestInterval)
        return;
    this->lastRequestAt = now;
    this->queueAction(Action::Kind::RequestPromotedStatus, *this->promotionTarget);
}

bool Failover::isOldPrimaryUnused(BootTime bootNow) const
{
    return (this->unconfirmedInstances && this->unconfirmedInstances->empty()) || bootNow >= this->leasesEnd;
}

bool Failover::isSurveyComplete(TimePoint now) const
{
    if (now - this->surveyStartedAt >= surveyTimeout)
        return true;
    if (!this->haveAnswered(false) || (this->needsLeaving() && !this->haveAnswered(true)))
        return false;
    if (!this->isPlanned)
        return true;
    std::optional<UpstreamId> best = this->selectPromotionTarget(now);
    return this->oldPrimaryStatus && best && !(this->statuses.at(*best).received < this->oldPrimaryStatus->received);
}

bool Failover::haveAnswered(bool isLeaving) const
{
    return std::all_of(this->candidates.begin(), this->candidates.end(), [this, isLeaving](const UpstreamId& candidate) {
        bool isOther = (this->leavingCandidates.count(candidate) > 0) != isLeaving;
        return isOther || this->statuses.count(candidate) > 0 || this->refusedCandidates.count(candidate) > 0;
    });
}

bool Failover::isDiverged(const UpstreamId& candidate) const
{
    const ReplicationStatus& status = this->statuses.at(candidate);
    if (!(status.received.term < this->recordedTerm))
        return false;
    // The baseline does not tell how much of an earlier term than its own has survived; one that followed the old primary has no
    // more than that.
    bool mayHaveMore = status.received.term < this->baseline.term && status.term < this->recordedTerm;
    return this->baseline < status.received || mayHaveMore;
}

bool Failover::hasOnlyDivergedLogs() const
{
    bool hasLog = false;
    for (const UpstreamId& candidate : this->candidates) {
        if (this->statuses.count(candidate) == 0)
            continue;
        hasLog = true;
        if (!this->isDiverged(candidate))
            return false;
    }
    return hasLog;
}

std::optional<UpstreamId> Failover::findLongest(bool isLeaving) const
{
    std::optional<UpstreamId> best;
    for (const UpstreamId& candidate : this->candidates) {
        bool isOther = (this->leavingCandidates.count(candidate) > 0) != isLeaving;
        if (isOther || this->statuses.count(candidate) == 0 || this->refusedCandidates.count(candidate) > 0)
            continue;
        bool isBetter = !best || (this->isDiverged(*best) && !this->isDiverged(candidate));
        bool isSameKind = best && this->isDiverged(*best) == this->isDiverged(candidate);
        if (isBetter || (isSameKind && this->statuses.at(*best).received < this->statuses.at(candidate).received))
            best = candidate;
    }
    return best;
}

bool Failover::needsLeaving() const
{
    std::optional<UpstreamId> staying = this->findLongest(false);
    return !this->leavingCandidates.empty() && (!staying || this->statuses.at(*staying).received.term < this->recordedTerm);
}

bool Failover::isCurrentPrimary(const UpstreamId& candidate) const
{
    const ReplicationStatus& status = this->statuses.at(candidate);
    return status.isPrimary && status.term == this->greatestTerm;
}

std::optional<UpstreamId> Failover::findInheritedTarget() const
{
    for (std::vector<UpstreamId>::const_reverse_iterator target = this->inheritedTargets.rbegin(); target != this->inheritedTargets.rend(); ++target) {
        bool isCandidate = std::find(this->candidates.begin(), this->candidates.end(), *target) != this->candidates.end();
        // The coordinator that called it knew that it has all acknowledged commits.
        isCandidate = isCandidate && (!this->commits || this->commits->hasKeptLog(*target));
        if (isCandidate && this->statuses.count(*target) > 0 && this->refusedCandidates.count(*target) == 0)
            return *target;
    }
    return std::nullopt;
}

std::optional<UpstreamId> Failover::selectPromotionTarget(TimePoint now) const
{
    for (const UpstreamId& candidate : this->candidates) {
        // A previous coordinator may have promoted it already.
        bool isKnown = this->statuses.count(candidate) > 0 && this->refusedCandidates.count(candidate) == 0;
        if (isKnown && this->isCurrentPrimary(candidate))
            return candidate;
    }
    std::optional<UpstreamId> inherited = this->findInheritedTarget();
    if (inherited)
        return inherited;
    std::optional<UpstreamId> staying = this->findLongest(false);
    std::optional<UpstreamId> leaving = this->findLongest(true);
    bool isStayingUsable = staying && !this->isDiverged(*staying);
    bool isLeavingUsable = leaving && !this->isDiverged(*leaving);
    bool isLeavingNewer = isStayingUsable && isLeavingUsable && this->statuses.at(*staying).received.term < this->statuses.at(*leaving).received.term;
    if (isStayingUsable && !isLeavingNewer)
        return staying;
    if (isLeavingUsable)
        return leaving;
    if (now < this->giveUpAt)
        return std::nullopt;
    return staying ? staying : leaving;
}

const char* Failover::getStepName() const
{
    switch (this->step) {
    case Step::Announcing:
        return "announcing";
    case Step::Surveying:
        return "surveying";
    case Step::Recording:
        return "recording";
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
