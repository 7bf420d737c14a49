#include "FailoverExecutor.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/fleet/ZoneReader.h"
#include "lentiljunction/leadership/GroupRegistration.h"
#include "lentiljunction/leadership/PrimaryRecordCodec.h"
#include "lentiljunction/leadership/RecordRecovery.h"

#include <algorithm>
#include <memory>
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
    /// Remaining lease that a promotion call requires, so that it is sent well before a call of the next
    /// coordinator.
    constexpr std::chrono::milliseconds minimumPromotionLease { 400 };

    /// @returns whether a response confirms that an instance uses a version of the record or a later one. Addresses are used
    ///     again, so another instance may respond.
    bool isConfirmation(const nlohmann::json& response, const InstanceId& instance, const std::pair<std::uint64_t, std::uint64_t>& required)
    {
        if (!response.is_object() || response.value("instance", "") != instance.toString())
            return false;
        return std::make_pair(response.value("era", std::uint64_t(0)), response.value("applied", std::uint64_t(0))) >= required;
    }

    void logInherited(const GroupId& group, const PrimaryEntry& entry)
    {
        for (const OpenPromotion& promotion : entry.openPromotions)
            logEvent(events::promotionCallInherited, "group=" + group.toString() + " upstream=" + promotion.upstream.toString() + " epoch=" + std::to_string(promotion.epoch.value()) + " generation=" + std::to_string(promotion.generation) + " present_generation=" + std::to_string(entry.generation));
    }

} // namespace

FailoverExecutor::FailoverExecutor(const Dependencies& dependencies)
    : dependencies(dependencies)
    , calls(dependencies.store, dependencies.clock, dependencies.self)
    , protection(dependencies.loop, dependencies.clock, dependencies.commander, dependencies.context, dependencies.self)
    , removal(dependencies.clock, dependencies.commander, dependencies.writer, dependencies.context, dependencies.self)
    , timer(dependencies.loop, dependencies.clock, [this] { this->tick(); })
{
}

void FailoverExecutor::start(const GroupId& group, const UpstreamId& primary, bool isPlanned, const std::string& cause)
{
    const VersionedPrimaryRecord& latest = this->dependencies.context.getLeaseTracker().getView().latest;
    // Until the routes are known, it is not known either whether commits of the group wait for replicas.
    std::optional<std::size_t> numSynchronousReplicas = this->protection.findSynchronousReplicas(group);
    std::vector<UpstreamId> candidates = this->listCandidates(group, primary);
    // A primary that still works is not replaced by an upstream that leaves as well.
    const PrimaryEntry* known = latest.record == nullptr ? nullptr : latest.record->find(group);
    bool isAnnounced = known != nullptr && known->phase == PrimaryPhase::Changing;
    bool mustStay = isPlanned && !isAnnounced && numSynchronousReplicas.value_or(0) == 0;
    if (mustStay && this->areAllLeaving(candidates))
        return;
    // Until a restored record is recovered, no change can be based on it.
    bool isRecordCurrent = latest.record != nullptr && latest.record->era == this->dependencies.store.getEra();
    if (this->isActive(group) || !numSynchronousReplicas || candidates.empty() || !isRecordCurrent)
        return;
    logEvent(events::promotionStarted, "group=" + group.toString() + " primary=" + primary.toString() + " planned=" + std::to_string(isPlanned) + " cause=\"" + cause + "\" candidates=" + std::to_string(candidates.size()));
    TimePoint now = this->dependencies.clock.now();
    Run run { this->nextRunNumber++, Failover(group, primary, candidates, isPlanned, known == nullptr ? Term() : known->term, now), {}, cause, now, "" };
    if (known != nullptr)
        logInherited(group, *known);
    run.startedAtBoot = this->dependencies.clock.bootNow();
    if (known != nullptr)
        run.failover.inheritPromotions(listCalledUpstreams(*known));
    run.isSynchronous = *numSynchronousReplicas > 0;
    this->protection.apply(run.failover, run.isSynchronous);
    this->runs.emplace(group, std::move(run));
    this->advance(group);
    this->timer.setTime(now + tickInterval);
}

bool FailoverExecutor::areAllLeaving(const std::vector<UpstreamId>& candidates) const
{
    return std::all_of(candidates.begin(), candidates.end(), [this](const UpstreamId& candidate) { return this->dependencies.context.getUpstreamList().find(candidate)->isLeaving; });
}

std::vector<UpstreamId> FailoverExecutor::listCandidates(const GroupId& group, const UpstreamId& primary) const
{
    std::vector<UpstreamId> candidates;
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : this->dependencies.context.getUpstreamList().entries) {
        if (entry.second.group == group && entry.first != primary)
            candidates.push_back(entry.first);
    }
    return candidates;
}

FailoverExecutor::Run* FailoverExecutor::findRun(const GroupId& group)
{
    std::map<GroupId, Run>::iterator found = this->runs.find(group);
    return found == this->runs.end() ? nullptr : &found->second;
}

FailoverExecutor::Run* FailoverExecutor::findRun(const RunKey& key)
{
    Run* run = this->findRun(key.group);
    return run != nullptr && run->number == key.number ? run : nullptr;
}

bool FailoverExecutor::isProgressing(const GroupId& group) const
{
    std::map<GroupId, Run>::const_iterator found = this->runs.find(group);
    return found != this->runs.end() && found->second.failover.isProgressing(this->dependencies.clock.bootNow(), this->dependencies.clock.now());
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
    switch (action.kind) {
    case Failover::Action::Kind::WriteChanging:
        return this->writeChanging(run);
    case Failover::Action::Kind::RequestConfirmations:
        return this->requestConfirmations(run);
    case Failover::Action::Kind::RequestStatus:
    case Failover::Action::Kind::RequestPromotedStatus:
        return this->requestStatus(run, action.upstream);
    case Failover::Action::Kind::DemoteOldPrimary:
        return this->demoteOldPrimary(run, action.upstream);
    case Failover::Action::Kind::PauseReplica:
        return this->pauseReplica(run, action.upstream);
    case Failover::Action::Kind::RefreshUpstreams:
        return this->refreshUpstreams(run);
    case Failover::Action::Kind::RecordPromotion:
        return this->recordPromotion(run, action.upstream);
    case Failover::Action::Kind::Promote:
        return this->promote(run, action.upstream);
    case Failover::Action::Kind::WriteStable:
        return this->writeStable(run, action.upstream);
    }
}

void FailoverExecutor::writeChanging(Run& run)
{
    RunKey key { run.failover.getGroup(), run.number };
    UpstreamId primary = run.failover.getOldPrimary();
    PrimaryRecordWriter::Change change = [this, key, primary](PrimaryRecord& record) {
        const GroupId& group = key.group;
        const PrimaryEntry* existing = record.find(group);
        const Run* current = this->findRun(key);
        // The clock of the failover stands still while the machine is suspended.
        bool isLate = current == nullptr || this->dependencies.clock.bootNow() - current->startedAtBoot > announcementTimeout;
        if (isLate || !current->failover.mayAnnounce(this->dependencies.clock.now()))
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
        removeEndedOfPrimary(group, entry, this->dependencies.context.getLeaseTracker().getOpenPromotions(), this->dependencies.clock.bootNow());
        return true;
    };
    this->dependencies.writer.submit(change, [this, key](bool isWritten, BootTime acknowledgedAt) {
        Run* current = this->findRun(key);
        if (current == nullptr)
            return;
        if (!isWritten)
            return this->abandon(key.group, "another instance replaced the primary, or the store did not accept the announcement in time");
        current->failover.onChangingWritten(acknowledgedAt, this->dependencies.clock.now());
        this->advance(key.group);
    });
}

void FailoverExecutor::recordPromotion(const Run& run, const UpstreamId& upstream)
{
    RunKey key { run.failover.getGroup(), run.number };
    std::shared_ptr<bool> wasRecorded = std::make_shared<bool>(false);
    PrimaryRecordWriter::Change change = [this, key, upstream, wasRecorded](PrimaryRecord& record) {
        std::map<GroupId, PrimaryEntry>::iterator entry = record.groups.find(key.group);
        bool isChanging = entry != record.groups.end() && entry->second.phase == PrimaryPhase::Changing;
        if (record.coordinator != this->dependencies.self || !isChanging || this->findRun(key) == nullptr)
            return false;
        *wasRecorded = hasOpenPromotion(entry->second, upstream, record.epoch);
        addOpenPromotion(entry->second, upstream, record.epoch);
        return true;
    };
    this->dependencies.writer.submit(change, [this, key, wasRecorded](bool isWritten, BootTime) {
        Run* current = this->findRun(key);
        if (current == nullptr)
            return;
        if (!isWritten)
            return this->abandon(key.group, "another instance is the failover coordinator");
        current->failover.onPromotionRecorded(*wasRecorded, this->dependencies.clock.now());
        this->advance(key.group);
    });
}

void FailoverExecutor::writeStable(Run& run, const UpstreamId& primary)
{
    GroupId group = run.failover.getGroup();
    ReplicationStatus status = run.failover.getNewPrimaryStatus();
    std::set<InstanceId> unconfirmed = run.failover.getUnconfirmedInstances();
    std::set<UpstreamId> refused = run.failover.listRefusedPromotions();
    RunKey key { group, run.number };
    std::uint64_t generation = this->dependencies.context.getLeaseTracker().getView().getGeneration(group);
    bool isSynchronous = run.isSynchronous;
    PrimaryRecordWriter::Change change = [this, group, primary, status, unconfirmed, refused, generation, isSynchronous](PrimaryRecord& record) {
        PrimaryEntry& entry = record.groups[group];
        bool isAnnounced = entry.phase == PrimaryPhase::Changing && entry.generation == generation;
        // The record may already hold this change if the response to an earlier write was lost.
        bool isWritten = entry.phase == PrimaryPhase::Stable && entry.primary == primary && entry.term == status.term;
        if (record.coordinator != this->dependencies.self || !(isAnnounced || isWritten))
            return false;
        record.retired.insert(unconfirmed.begin(), unconfirmed.end());
        removeRefusedPromotions(entry, record.epoch, refused);
        if (isAnnounced)
            entry.generation = computeNextGeneration(record, entry);
        entry.phase = PrimaryPhase::Stable;
        entry.primary = primary;
        entry.baseline = status.received;
        entry.term = status.term;
        entry.era = record.era;
        // The former primary may receive commits as a replica until it ends.
        if (isSynchronous)
            GroupRegistration::updateLogHolders(entry, group, this->dependencies.context.getUpstreamList());
        return true;
    };
    this->dependencies.writer.submit(change, [this, key, group, status](bool isWritten, BootTime) {
        Run* current = this->findRun(key);
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
    RunKey key { run.failover.getGroup(), run.number };
    if (this->dependencies.context.listActiveMembers().size() > maximumConfirmations || !this->dependencies.context.haveEarlierLeasesExpired())
        return;
    this->dependencies.store.listMembers(true, [this, key](const std::optional<std::vector<FleetMember>>& members, const Failure& failure) {
        Run* current = this->findRun(key);
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
        this->dependencies.context.confirmTrafficUpdate([this, key] {
            if (Run* activeRun = this->findRun(key))
                activeRun->failover.onInstanceConfirmed(this->dependencies.self);
            this->advance(key.group);
        });
        for (const FleetMember& member : *members) {
            current->members[member.id] = member;
            if (member.id != this->dependencies.self)
                this->requestConfirmation(key, member);
        }
    });
}

void FailoverExecutor::requestConfirmation(const RunKey& key, const FleetMember& member)
{
    const VersionedPrimaryRecord& latest = this->dependencies.context.getLeaseTracker().getView().latest;
    std::pair<std::uint64_t, std::uint64_t> required(latest.record->era.value(), latest.revision.value());
    this->dependencies.peers.ask(member.peers, this->makePrimaryRecordMessage(), peerTimeout, [this, key, member, required](const std::optional<nlohmann::json>& response) {
        Run* current = this->findRun(key);
        if (current == nullptr)
            return;
        if (response && isConfirmation(*response, member.id, required)) {
            current->failover.onInstanceConfirmed(member.id);
            return this->advance(key.group);
        }
        // Neither a timeout nor a refused connection shows that the instance stopped: both occur in a partition.
        this->dependencies.loop.schedule(peerTimeout, [this, key, member] {
            if (this->findRun(key) != nullptr)
                this->requestConfirmation(key, member);
        });
    });
}

void FailoverExecutor::requestStatus(const Run& run, const UpstreamId& upstream)
{
    const UpstreamEntry* entry = this->dependencies.context.getUpstreamList().find(upstream);
    if (entry == nullptr)
        return;
    RunKey key { run.failover.getGroup(), run.number };
    this->dependencies.commander.requestStatus(*entry, [this, key, upstream](const std::optional<ReplicationStatus>& status, bool) {
        Run* current = this->findRun(key);
        if (current == nullptr || !status)
            return;
        this->logUnrequested(*current, upstream, *status);
        current->failover.onStatus(upstream, *status);
        this->advance(key.group);
    });
}

void FailoverExecutor::logUnrequested(Run& run, const UpstreamId& upstream, const ReplicationStatus& status) const
{
    const GroupId& group = run.failover.getGroup();
    const PrimaryEntry* entry = this->dependencies.context.getLeaseTracker().getView().latest.record->find(group);
    bool isNewer = entry == nullptr || entry->term < status.term;
    if (!status.isPrimary || !isNewer || this->calls.hasSent(group, run.number, upstream) || !run.unrequested.insert(upstream).second)
        return;
    logEvent(events::promotionUnrequested, "group=" + group.toString() + " upstream=" + upstream.toString() + " term=" + std::to_string(status.term.value()) + " primary=" + run.failover.getOldPrimary().toString() + " generation=" + std::to_string(entry == nullptr ? 0 : entry->generation) + " run=" + std::to_string(run.number));
}

void FailoverExecutor::demoteOldPrimary(Run& run, const UpstreamId& upstream)
{
    const UpstreamEntry* entry = this->dependencies.context.getUpstreamList().find(upstream);
    if (entry == nullptr || !this->mayCommand(run.failover.getGroup()) || std::exchange(run.isDemoting, true))
        return;
    RunKey key { run.failover.getGroup(), run.number };
    this->dependencies.commander.requestStatus(*entry, [this, key, upstream, copy = *entry](const std::optional<ReplicationStatus>& status, bool) {
        Run* requested = this->findRun(key);
        if (requested == nullptr)
            return;
        requested->isDemoting = status && this->mayCommand(key.group);
        if (!requested->isDemoting)
            return;
        this->dependencies.commander.demote(copy, status->term.next(), [this, key](const std::optional<ReplicationStatus>& demoted, bool) {
            Run* current = this->findRun(key);
            if (current == nullptr)
                return;
            current->isDemoting = false;
            if (!demoted)
                return;
            current->failover.onOldPrimaryDemoted(*demoted);
            this->advance(key.group);
        });
    });
}

void FailoverExecutor::pauseReplica(const Run& run, const UpstreamId& upstream)
{
    const UpstreamEntry* entry = this->dependencies.context.getUpstreamList().find(upstream);
    if (entry == nullptr || !this->mayCommand(run.failover.getGroup()))
        return;
    RunKey key { run.failover.getGroup(), run.number };
    Term term = run.failover.getPauseTerm();
    this->dependencies.commander.pause(*entry, term, [this, key, upstream, term](const std::optional<ReplicationStatus>& status, bool) {
        Run* current = this->findRun(key);
        if (current == nullptr || !status)
            return;
        current->failover.onReplicaPaused(upstream, *status, term);
        this->advance(key.group);
    });
}

void FailoverExecutor::refreshUpstreams(const Run& run)
{
    RunKey key { run.failover.getGroup(), run.number };
    this->dependencies.context.refreshUpstreams([this, key](bool isRead) {
        Run* current = this->findRun(key);
        if (current == nullptr)
            return;
        current->failover.setMembers(this->protection.listMembers(key.group, current->failover.getOldPrimary()));
        current->failover.onUpstreamsRefreshed(isRead);
        this->advance(key.group);
    });
}

bool FailoverExecutor::isCoordinator() const
{
    const PrimaryView& view = this->dependencies.context.getLeaseTracker().getView();
    return view.latest.record != nullptr && view.latest.record->coordinator == this->dependencies.self;
}

bool FailoverExecutor::isPromotionRecorded(const GroupId& group, const UpstreamId& upstream) const
{
    if (!this->isCoordinator())
        return false;
    const PrimaryRecord& record = *this->dependencies.context.getLeaseTracker().getView().latest.record;
    const PrimaryEntry* entry = record.find(group);
    if (entry == nullptr || entry->phase != PrimaryPhase::Changing)
        return false;
    return hasOpenPromotion(*entry, upstream, record.epoch);
}

bool FailoverExecutor::mayCommand(const GroupId& group) const
{
    return this->dependencies.context.getLeaseTracker().isReplacing(group, this->dependencies.clock.bootNow());
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
    this->sendPromotionCall({ run.failover.getGroup(), run.number }, upstream);
}

void FailoverExecutor::sendPromotionCall(const RunKey& key, const UpstreamId& upstream)
{
    Run* run = this->findRun(key);
    if (run == nullptr)
        return;
    if (!this->isPromotionRecorded(key.group, upstream))
        return this->abandon(key.group, "another instance is the failover coordinator");
    if (!this->mayCall()) {
        this->dependencies.loop.schedule(tickInterval, [this, key, upstream] { this->sendPromotionCall(key, upstream); });
        return;
    }
    std::size_t numGivenUp = run->failover.getNumGivenUp();
    if (numGivenUp > 0)
        logEvent(events::commitsUnproved, "group=" + key.group.toString() + " upstream=" + upstream.toString() + " silent=" + std::to_string(numGivenUp));
    FencingToken epoch = this->dependencies.context.getLeaseTracker().getView().latest.record->epoch;
    logEvent(events::failoverStep, "group=" + key.group.toString() + " step=call upstream=" + upstream.toString() + " epoch=" + std::to_string(epoch.value()));
    run->failover.onPromotionSent(this->dependencies.clock.now());
    std::function<bool()> mayBeSent = [this, key, upstream, epoch] { return this->isPromotionRecorded(key.group, upstream) && this->dependencies.context.getLeaseTracker().getView().latest.record->epoch == epoch && this->mayCall(); };
    std::uint64_t generation = this->dependencies.context.getLeaseTracker().getView().latest.record->find(key.group)->generation;
    this->calls.send({ key.group, upstream, epoch, generation, key.number }, std::move(mayBeSent), [this, key](bool isAccepted, const Failure& failure) { this->onPromotionResponse(key, isAccepted, failure); });
}

void FailoverExecutor::onPromotionResponse(const RunKey& key, bool hasResponse, const Failure& failure)
{
    Run* run = this->findRun(key);
    if (run == nullptr)
        return;
    const GroupId& group = key.group;
    run->isPromoting = false;
    TimePoint now = this->dependencies.clock.now();
    if (hasResponse || failure.kind == Failure::Kind::Conflict) {
        if (!hasResponse)
            logEvent(events::promotionFailed, "group=" + group.toString() + " upstream=" + run->failover.getPromotionTarget()->toString() + " reason=\"" + failure.reason + "\"");
        run->failover.onPromotionResponse(hasResponse, now);
        return this->advance(group);
    }
    logEvent(events::promotionFailed, "group=" + group.toString() + " reason=\"" + failure.reason + "\" again_in_ms=" + std::to_string(promotionRetryDelay.count()));
    bool hasNoEffect = failure.kind == Failure::Kind::Unavailable && !failure.isResponse;
    this->dependencies.loop.schedule(promotionRetryDelay, [this, key, hasNoEffect] {
        Run* current = this->findRun(key);
        if (current == nullptr)
            return;
        if (hasNoEffect)
            current->failover.onPromotionNotSent(this->dependencies.clock.now());
        else
            current->failover.onPromotionTimeout(this->dependencies.clock.now());
        this->advance(key.group);
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
