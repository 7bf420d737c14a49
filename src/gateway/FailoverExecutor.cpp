#include "FailoverExecutor.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/fleet/ZoneReader.h"
#include "lentiljunction/leadership/PrimaryRecordCodec.h"
#include "lentiljunction/leadership/RecordRecovery.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Interval at which failovers in progress are advanced.
    constexpr std::chrono::milliseconds tickInterval { 20 };
    /// Allows several round trips between availability zones.
    constexpr std::chrono::milliseconds peerTimeout { 150 };
    constexpr std::chrono::milliseconds promotionRetryDelay { 150 };
    /// With more instances, requesting the confirmations of all takes one small machine longer than the leases need to
    /// expire, and those that are late would be retired. Then a failover waits until all leases have expired.
    constexpr std::size_t maximumConfirmations = 100;
    /// Remaining lease that a promotion call requires, so that a late call cannot collide with a call of
    /// the next coordinator.
    constexpr std::chrono::milliseconds minimumPromotionLease { 400 };

} // namespace

FailoverExecutor::FailoverExecutor(const Dependencies& dependencies)
    : dependencies(dependencies)
    , calls(dependencies.store, dependencies.clock, dependencies.self)
    , protection(dependencies.loop, dependencies.clock, dependencies.commander, dependencies.context, dependencies.self)
    , timer(dependencies.loop, dependencies.clock, [this] { this->tick(); })
{
}

void FailoverExecutor::start(const GroupId& group, const UpstreamId& primary, bool isPlanned, const std::string& cause)
{
    const VersionedPrimaryRecord& latest = this->dependencies.context.getLeaseTracker().getView().latest;
    // Until the routes are known, it is not known either whether commits of the group wait for replicas.
    std::optional<std::size_t> numSynchronousReplicas = this->protection.findSynchronousReplicas(group);
    std::vector<UpstreamId> candidates = this->listCandidates(group, primary, numSynchronousReplicas.value_or(0) > 0);
    // Until a restored record is recovered, no change can be based on it.
    bool isRecordCurrent = latest.record != nullptr && latest.record->era == this->dependencies.store.getEra();
    if (this->isActive(group) || !numSynchronousReplicas || candidates.empty() || !isRecordCurrent)
        return;
    logEvent(events::promotionStarted, "group=" + group.toString() + " primary=" + primary.toString() + " planned=" + std::to_string(isPlanned) + " cause=\"" + cause + "\" candidates=" + std::to_string(candidates.size()));
    TimePoint now = this->dependencies.clock.now();
    const PrimaryEntry* known = latest.record->find(group);
    Run run { Failover(group, primary, candidates, isPlanned, known == nullptr ? Term() : known->term, now), {}, cause, now, "" };
    run.isSynchronous = *numSynchronousReplicas > 0;
    if (run.isSynchronous)
        this->protection.apply(run.failover);
    this->runs.emplace(group, std::move(run));
    this->advance(group);
    this->timer.setTime(now + tickInterval);
}

std::vector<UpstreamId> FailoverExecutor::listCandidates(const GroupId& group, const UpstreamId& primary, bool includesLeaving) const
{
    std::vector<UpstreamId> candidates;
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : this->dependencies.context.getUpstreamList().entries) {
        if (entry.second.group == group && (includesLeaving || !entry.second.isLeaving) && entry.first != primary)
            candidates.push_back(entry.first);
    }
    return candidates;
}

FailoverExecutor::Run* FailoverExecutor::findRun(const GroupId& group)
{
    std::map<GroupId, Run>::iterator found = this->runs.find(group);
    return found == this->runs.end() ? nullptr : &found->second;
}

bool FailoverExecutor::isAwaitingCommits(const GroupId& group) const
{
    std::map<GroupId, Run>::const_iterator found = this->runs.find(group);
    return found != this->runs.end() && found->second.failover.isAwaitingCommits();
}

void FailoverExecutor::tick()
{
    std::vector<GroupId> groups;
    for (const std::pair<const GroupId, Run>& run : this->runs)
        groups.push_back(run.first);
    for (const GroupId& group : groups)
        this->advance(group);
    if (!this->runs.empty())
        this->timer.setTime(this->dependencies.clock.now() + tickInterval);
}

void FailoverExecutor::advance(const GroupId& group)
{
    Run* run = this->findRun(group);
    if (run == nullptr)
        return;
    if (run->isSynchronous)
        run->failover.setMembers(this->protection.listMembers(group, run->failover.getOldPrimary()));
    std::vector<Failover::Action> actions = run->failover.takeActions(this->dependencies.clock.bootNow(), this->dependencies.clock.now());
    if (run->lastLoggedStep != run->failover.getStepName()) {
        run->lastLoggedStep = run->failover.getStepName();
        logEvent(events::failoverStep, "group=" + group.toString() + " step=" + run->lastLoggedStep + " after_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(this->dependencies.clock.now() - run->startedAt).count()));
    }
    for (const Failover::Action& action : actions) {
        run = this->findRun(group);
        if (run == nullptr)
            return;
        this->carryOut(*run, action);
    }
    run = this->findRun(group);
    if (run != nullptr && run->failover.isDone())
        this->runs.erase(group);
}

void FailoverExecutor::carryOut(Run& run, const Failover::Action& action)
{
    const GroupId& group = run.failover.getGroup();
    switch (action.kind) {
    case Failover::Action::Kind::WriteChanging:
        return this->writeChanging(run);
    case Failover::Action::Kind::RequestConfirmations:
        return this->requestConfirmations(run);
    case Failover::Action::Kind::RequestStatus:
    case Failover::Action::Kind::RequestPromotedStatus:
        return this->requestStatus(group, action.upstream);
    case Failover::Action::Kind::DemoteOldPrimary:
        return this->demoteOldPrimary(run, action.upstream);
    case Failover::Action::Kind::PauseReplica:
        return this->pauseReplica(run, action.upstream);
    case Failover::Action::Kind::Promote:
        return this->promote(run, action.upstream);
    case Failover::Action::Kind::WriteStable:
        return this->writeStable(run, action.upstream);
    }
}

void FailoverExecutor::writeChanging(Run& run)
{
    GroupId group = run.failover.getGroup();
    UpstreamId primary = run.failover.getOldPrimary();
    PrimaryRecordWriter::Change change = [this, group, primary](PrimaryRecord& record) {
        const PrimaryEntry* existing = record.find(group);
        const Run* current = this->findRun(group);
        if (current == nullptr || !current->failover.mayAnnounce(this->dependencies.clock.now()))
            return false;
        // Another instance has replaced the primary already.
        bool isOtherPrimary = existing != nullptr && (existing->primary != primary);
        if (isOtherPrimary)
            return false;
        if (record.coordinator != this->dependencies.self) {
            record.coordinator = this->dependencies.self;
            record.epoch = record.epoch.next();
        }
        PrimaryEntry& entry = record.groups[group];
        entry.phase = PrimaryPhase::Changing;
        entry.primary = primary;
        return true;
    };
    this->dependencies.writer.submit(change, [this, group](bool isWritten, BootTime acknowledgedAt) {
        Run* current = this->findRun(group);
        if (current == nullptr)
            return;
        if (!isWritten)
            return this->abandon(group, "another instance replaced the primary, or the store did not accept the announcement in time");
        current->failover.onChangingWritten(acknowledgedAt, this->dependencies.clock.now());
        this->advance(group);
    });
}

void FailoverExecutor::writeStable(Run& run, const UpstreamId& primary)
{
    GroupId group = run.failover.getGroup();
    ReplicationStatus status = run.failover.getNewPrimaryStatus();
    std::set<InstanceId> unconfirmed = run.failover.getUnconfirmedInstances();
    PrimaryRecordWriter::Change change = [this, group, primary, status, unconfirmed](PrimaryRecord& record) {
        if (record.coordinator != this->dependencies.self)
            return false;
        record.retired.insert(unconfirmed.begin(), unconfirmed.end());
        PrimaryEntry& entry = record.groups[group];
        // The record may already hold this change if the response to an earlier write was lost.
        if (entry.phase == PrimaryPhase::Changing)
            entry.generation = computeNextGeneration(record, entry);
        entry.phase = PrimaryPhase::Stable;
        entry.primary = primary;
        entry.baseline = status.received;
        entry.term = status.term;
        entry.era = record.era;
        return true;
    };
    this->dependencies.writer.submit(change, [this, group, status](bool isWritten, BootTime) {
        Run* current = this->findRun(group);
        if (current == nullptr)
            return;
        if (!isWritten)
            return this->abandon(group, "another instance took over the failover coordination");
        current->failover.onStableWritten();
        logEvent(events::promotionDone, "group=" + group.toString() + " primary=" + current->failover.getPromotionTarget()->toString() + " term=" + std::to_string(status.term.value()) + " took_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(this->dependencies.clock.now() - current->startedAt).count()));
        this->recordChange(*current, status);
        this->notifyInstances(*current);
        if (current->isSynchronous)
            this->protection.resumeReplicas(group);
        const UpstreamEntry* old = this->dependencies.context.getUpstreamList().find(current->failover.getOldPrimary());
        if (old != nullptr && old->id != *current->failover.getPromotionTarget())
            this->dependencies.commander.demote(*old, status.term, [](const std::optional<ReplicationStatus>&, bool) {});
        this->advance(group);
    });
}

void FailoverExecutor::requestConfirmations(Run& run)
{
    GroupId group = run.failover.getGroup();
    if (this->dependencies.context.listActiveMembers().size() > maximumConfirmations || !this->dependencies.context.haveEarlierLeasesExpired())
        return;
    this->dependencies.store.listMembers(true, [this, group](const std::optional<std::vector<FleetMember>>& members, const Failure& failure) {
        Run* current = this->findRun(group);
        if (current == nullptr)
            return;
        // Without the list, all leases must expire before the promotion.
        if (!members)
            return logEvent(events::storeCallFailed, "call=list_members reason=\"" + failure.reason + "\"");
        // Instances that got leases on the record may be missing from the list of a restored store.
        if (this->dependencies.context.getLeaseTracker().getView().latest.record->era != this->dependencies.store.getEra())
            return;
        std::set<InstanceId> registered { this->dependencies.self };
        for (const FleetMember& member : *members) {
            if (!this->dependencies.context.isRetiredPastLease(member.id))
                registered.insert(member.id);
        }
        current->failover.onInstancesListed(registered);
        this->dependencies.context.confirmTrafficUpdate([this, group] {
            if (Run* activeRun = this->findRun(group))
                activeRun->failover.onInstanceConfirmed(this->dependencies.self);
            this->advance(group);
        });
        for (const FleetMember& member : *members) {
            current->members[member.id] = member;
            if (member.id != this->dependencies.self)
                this->requestConfirmation(group, member);
        }
    });
}

void FailoverExecutor::requestConfirmation(const GroupId& group, const FleetMember& member)
{
    const VersionedPrimaryRecord& latest = this->dependencies.context.getLeaseTracker().getView().latest;
    std::pair<std::uint64_t, std::uint64_t> required(latest.record->era.value(), latest.revision.value());
    this->dependencies.peers.ask(member.peers, this->makePrimaryRecordMessage(), peerTimeout, [this, group, member, required](const std::optional<nlohmann::json>& response) {
        Run* current = this->findRun(group);
        if (current == nullptr)
            return;
        if (response && response->is_object() && std::make_pair(response->value("era", std::uint64_t(0)), response->value("applied", std::uint64_t(0))) >= required) {
            current->failover.onInstanceConfirmed(member.id);
            return this->advance(group);
        }
        // Neither a timeout nor a refused connection shows that the instance stopped: both occur in a partition.
        this->dependencies.loop.schedule(peerTimeout, [this, group, member] {
            if (this->findRun(group) != nullptr)
                this->requestConfirmation(group, member);
        });
    });
}

void FailoverExecutor::requestStatus(const GroupId& group, const UpstreamId& upstream)
{
    const UpstreamEntry* entry = this->dependencies.context.getUpstreamList().find(upstream);
    if (entry == nullptr)
        return;
    this->dependencies.commander.requestStatus(*entry, [this, group, upstream](const std::optional<ReplicationStatus>& status, bool) {
        Run* current = this->findRun(group);
        if (current == nullptr || !status)
            return;
        current->failover.onStatus(upstream, *status);
        this->advance(group);
    });
}

void FailoverExecutor::demoteOldPrimary(Run& run, const UpstreamId& upstream)
{
    const UpstreamEntry* entry = this->dependencies.context.getUpstreamList().find(upstream);
    if (entry == nullptr || std::exchange(run.isDemoting, true))
        return;
    GroupId group = run.failover.getGroup();
    this->dependencies.commander.requestStatus(*entry, [this, group, upstream, copy = *entry](const std::optional<ReplicationStatus>& status, bool) {
        Run* requested = this->findRun(group);
        if (requested == nullptr)
            return;
        requested->isDemoting = status.has_value();
        if (!status)
            return;
        this->dependencies.commander.demote(copy, status->term.next(), [this, group](const std::optional<ReplicationStatus>& demoted, bool) {
            Run* current = this->findRun(group);
            if (current == nullptr)
                return;
            current->isDemoting = false;
            if (!demoted)
                return;
            current->failover.onOldPrimaryDemoted(*demoted);
            this->advance(group);
        });
    });
}

void FailoverExecutor::pauseReplica(const Run& run, const UpstreamId& upstream)
{
    const UpstreamEntry* entry = this->dependencies.context.getUpstreamList().find(upstream);
    if (entry == nullptr)
        return;
    Term term = run.failover.getPauseTerm();
    this->dependencies.commander.pause(*entry, term, [this, group = run.failover.getGroup(), upstream, term](const std::optional<ReplicationStatus>& status, bool) {
        Run* current = this->findRun(group);
        if (current == nullptr || !status)
            return;
        current->failover.onReplicaPaused(upstream, *status, term);
        this->advance(group);
    });
}

bool FailoverExecutor::isCoordinator() const
{
    const PrimaryView& view = this->dependencies.context.getLeaseTracker().getView();
    return view.latest.record != nullptr && view.latest.record->coordinator == this->dependencies.self;
}

bool FailoverExecutor::mayCall() const
{
    Duration remaining = this->dependencies.context.getLeaseTracker().getRemaining(this->dependencies.clock.bootNow());
    return remaining >= minimumPromotionLease && this->dependencies.context.mayAct();
}

void FailoverExecutor::promote(Run& run, const UpstreamId& upstream)
{
    if (std::exchange(run.isPromoting, true))
        return;
    this->sendPromotionCall(run.failover.getGroup(), upstream);
}

void FailoverExecutor::sendPromotionCall(const GroupId& group, const UpstreamId& upstream)
{
    if (this->findRun(group) == nullptr)
        return;
    if (!this->isCoordinator())
        return this->abandon(group, "another instance is the failover coordinator");
    if (!this->mayCall()) {
        this->dependencies.loop.schedule(tickInterval, [this, group, upstream] { this->sendPromotionCall(group, upstream); });
        return;
    }
    std::size_t numGivenUp = this->findRun(group)->failover.getNumGivenUp();
    if (numGivenUp > 0)
        logEvent(events::commitsUnproved, "group=" + group.toString() + " upstream=" + upstream.toString() + " silent=" + std::to_string(numGivenUp));
    FencingToken epoch = this->dependencies.context.getLeaseTracker().getView().latest.record->epoch;
    logEvent(events::failoverStep, "group=" + group.toString() + " step=call upstream=" + upstream.toString() + " epoch=" + std::to_string(epoch.value()));
    std::function<bool()> mayBeSent = [this, epoch] { return this->isCoordinator() && this->dependencies.context.getLeaseTracker().getView().latest.record->epoch == epoch && this->mayCall(); };
    this->calls.send(group, upstream, epoch, std::move(mayBeSent), [this, group](bool isAccepted, const Failure& failure) { this->onPromotionResponse(group, isAccepted, failure); });
}

void FailoverExecutor::onPromotionResponse(const GroupId& group, bool hasResponse, const Failure& failure)
{
    Run* run = this->findRun(group);
    if (run == nullptr)
        return;
    run->isPromoting = false;
    TimePoint now = this->dependencies.clock.now();
    if (hasResponse || failure.kind == Failure::Kind::Conflict) {
        if (!hasResponse)
            logEvent(events::promotionFailed, "group=" + group.toString() + " upstream=" + run->failover.getPromotionTarget()->toString() + " reason=\"" + failure.reason + "\"");
        run->failover.onPromotionResponse(hasResponse, now);
        return this->advance(group);
    }
    logEvent(events::promotionFailed, "group=" + group.toString() + " reason=\"" + failure.reason + "\" again_in_ms=" + std::to_string(promotionRetryDelay.count()));
    this->dependencies.loop.schedule(promotionRetryDelay, [this, group] {
        if (Run* current = this->findRun(group)) {
            current->failover.onPromotionTimeout(this->dependencies.clock.now());
            this->advance(group);
        }
    });
}

nlohmann::json FailoverExecutor::makePrimaryRecordMessage() const
{
    const LeaseTracker& leaseTracker = this->dependencies.context.getLeaseTracker();
    const PrimaryView& view = leaseTracker.getView();
    return {
        { "ask", "take_lead" },
        { "record", encodePrimaryRecord(*view.latest.record) },
        { "revision", view.latest.revision.value() },
        { "permit_us", leaseTracker.getRemaining(this->dependencies.clock.bootNow()).count() },
    };
}

void FailoverExecutor::recordChange(const Run& run, const ReplicationStatus& status)
{
    AuditRecord record;
    record.kind = AuditKind::Promotion;
    record.subject = run.failover.getGroup().toString();
    record.reason = run.cause;
    record.before = run.failover.getOldPrimary().toString();
    record.after = run.failover.getPromotionTarget()->toString() + " term " + std::to_string(status.term.value());
    this->dependencies.context.recordChange(std::move(record));
}

void FailoverExecutor::notifyInstances(const Run& run)
{
    std::vector<FleetMember> notified;
    for (const std::pair<const InstanceId, FleetMember>& member : run.members)
        notified.push_back(member.second);
    // The other instances request the record from the zone readers.
    if (notified.empty())
        notified = chooseZoneReaders(this->dependencies.context.listActiveMembers());
    for (const FleetMember& member : notified) {
        if (member.id != this->dependencies.self)
            this->dependencies.peers.ask(member.peers, this->makePrimaryRecordMessage(), peerTimeout, [](const std::optional<nlohmann::json>&) {});
    }
}

void FailoverExecutor::abandon(const GroupId& group, const std::string& reason)
{
    logEvent(events::failoverAbandoned, "group=" + group.toString() + " reason=\"" + reason + "\"");
    this->runs.erase(group);
}

} // namespace lentiljunction
