#include "FailoverExecutor.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/leadership/PrimaryRecordCodec.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// How often the steps that wait for time or for answers are looked at, while there are any.
    constexpr std::chrono::milliseconds tickInterval { 20 };
    /// For an answer of another instance: some round trips between availability zones.
    constexpr std::chrono::milliseconds peerLimit { 150 };
    /// Before a promotion call without an answer is made again.
    constexpr std::chrono::milliseconds promoteRetryPause { 150 };
    /// A holder whose promotion calls fail for longer leaves the duty to others.
    constexpr std::chrono::milliseconds unfitLimit { 1000 };
    /// A promotion call is sent only when the duty is certain for this much longer, so that a late
    /// call cannot meet the next holder's.
    constexpr std::chrono::milliseconds dutyReserve { 400 };

} // namespace

FailoverExecutor::FailoverExecutor(const Parts& parts)
    : parts(parts)
    , timer(parts.loop, parts.clock, [this] { this->tick(); })
{
}

void FailoverExecutor::start(const GroupId& group, const UpstreamId& primary, bool isPlanned, const std::string& cause)
{
    if (this->isActive(group))
        return;
    std::vector<UpstreamId> candidates = this->listCandidates(group, primary);
    if (candidates.empty())
        return;
    logEvent(events::promotionStarted, "group=" + group.toString() + " primary=" + primary.toString() + " planned=" + std::to_string(isPlanned) + " cause=\"" + cause + "\" candidates=" + std::to_string(candidates.size()));
    TimePoint now = this->parts.clock.now();
    const VersionedPrimaryRecord& lead = this->parts.surroundings.getPermits().getView().lead;
    const PrimaryEntry* known = lead.record == nullptr ? nullptr : lead.record->find(group);
    Term knownTerm = known == nullptr ? Term() : known->term;
    this->runs.emplace(group, Run { Failover(group, primary, candidates, isPlanned, knownTerm, now), {}, cause, now, "", false });
    this->advance(group);
    this->timer.setTime(now + tickInterval);
}

std::vector<UpstreamId> FailoverExecutor::listCandidates(const GroupId& group, const UpstreamId& primary) const
{
    std::vector<UpstreamId> candidates;
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : this->parts.surroundings.getUpstreamList().entries) {
        if (entry.second.group == group && !entry.second.isLeaving && entry.first != primary)
            candidates.push_back(entry.first);
    }
    return candidates;
}

FailoverExecutor::Run* FailoverExecutor::find(const GroupId& group)
{
    std::map<GroupId, Run>::iterator found = this->runs.find(group);
    return found == this->runs.end() ? nullptr : &found->second;
}

void FailoverExecutor::tick()
{
    std::vector<GroupId> groups;
    for (const std::pair<const GroupId, Run>& run : this->runs)
        groups.push_back(run.first);
    for (const GroupId& group : groups)
        this->advance(group);
    if (!this->runs.empty())
        this->timer.setTime(this->parts.clock.now() + tickInterval);
}

void FailoverExecutor::advance(const GroupId& group)
{
    Run* run = this->find(group);
    if (run == nullptr)
        return;
    std::vector<Failover::Action> actions = run->failover.takeActions(this->parts.clock.bootNow(), this->parts.clock.now());
    if (run->lastStep != run->failover.getStepName()) {
        run->lastStep = run->failover.getStepName();
        logEvent(events::failoverStep, "group=" + group.toString() + " step=" + run->lastStep + " after_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(this->parts.clock.now() - run->began).count()));
    }
    for (const Failover::Action& action : actions) {
        run = this->find(group);
        if (run == nullptr)
            return;
        this->carryOut(*run, action);
    }
    run = this->find(group);
    if (run != nullptr && run->failover.isDone())
        this->runs.erase(group);
}

void FailoverExecutor::carryOut(Run& run, const Failover::Action& action)
{
    const GroupId& group = run.failover.getGroup();
    switch (action.kind) {
    case Failover::Action::Kind::WriteChanging:
        return this->writeChanging(run);
    case Failover::Action::Kind::AskInstances:
        return this->askInstances(run);
    case Failover::Action::Kind::AskStatus:
    case Failover::Action::Kind::AskLead:
        return this->askStatus(group, action.upstream);
    case Failover::Action::Kind::DemoteOld:
        return this->demoteOld(group, action.upstream);
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
        const PrimaryEntry* present = record.find(group);
        const Run* announced = this->find(group);
        if (announced == nullptr || !announced->failover.mayAnnounce(this->parts.clock.now()))
            return false;
        // Another instance has replaced it, or is about to.
        bool isOther = present != nullptr && (present->primary != primary);
        if (isOther)
            return false;
        if (record.holder != this->parts.self) {
            record.holder = this->parts.self;
            record.epoch = record.epoch.next();
        }
        PrimaryEntry& lead = record.groups[group];
        lead.phase = PrimaryPhase::Changing;
        lead.primary = primary;
        return true;
    };
    this->parts.writer.submit(change, [this, group](bool isWritten, BootTime acknowledgedAt) {
        Run* current = this->find(group);
        if (current == nullptr)
            return;
        if (!isWritten)
            return this->abandon(group, "another instance replaces the primary, or the store took too long");
        current->failover.onChangingWritten(acknowledgedAt, this->parts.clock.now());
        this->advance(group);
    });
}

void FailoverExecutor::writeStable(Run& run, const UpstreamId& primary)
{
    GroupId group = run.failover.getGroup();
    LeadStatus status = run.failover.getNewStatus();
    std::set<InstanceId> silent = run.failover.getSilentInstances();
    PrimaryRecordWriter::Change change = [this, group, primary, status, silent](PrimaryRecord& record) {
        if (record.holder != this->parts.self)
            return false;
        record.retired.insert(silent.begin(), silent.end());
        PrimaryEntry& lead = record.groups[group];
        // The write may have been done already and its answer lost.
        if (lead.phase == PrimaryPhase::Changing)
            lead.generation++;
        lead.phase = PrimaryPhase::Stable;
        lead.primary = primary;
        lead.baseline = status.received;
        lead.term = status.term;
        return true;
    };
    this->parts.writer.submit(change, [this, group, status](bool isWritten, BootTime) {
        Run* current = this->find(group);
        if (current == nullptr)
            return;
        if (!isWritten)
            return this->abandon(group, "another instance took the duty over");
        current->failover.onStableWritten();
        logEvent(events::promotionDone, "group=" + group.toString() + " primary=" + current->failover.getChosen()->toString() + " term=" + std::to_string(status.term.value()) + " took_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(this->parts.clock.now() - current->began).count()));
        this->recordChange(*current, status);
        this->tellAll(*current);
        const UpstreamEntry* old = this->parts.surroundings.getUpstreamList().find(current->failover.getOldPrimary());
        if (old != nullptr)
            this->parts.commander.demote(*old, status.term, [](const std::optional<LeadStatus>&, bool) {});
        this->advance(group);
    });
}

void FailoverExecutor::askInstances(Run& run)
{
    GroupId group = run.failover.getGroup();
    this->parts.store.listMembers(true, [this, group](const std::optional<std::vector<FleetMember>>& members, const Failure& failure) {
        Run* current = this->find(group);
        if (current == nullptr)
            return;
        if (!members) {
            // Without the list nobody may be left out, so the permits have to run out.
            logEvent(events::storeCallFailed, "call=list_members reason=\"" + failure.reason + "\"");
            return;
        }
        std::set<InstanceId> awaited { this->parts.self };
        for (const FleetMember& member : *members) {
            if (!this->parts.surroundings.isRetiredPastLease(member.id))
                awaited.insert(member.id);
        }
        current->failover.onInstancesKnown(awaited);
        this->parts.surroundings.confirmTraffic([this, group] {
            if (Run* confirmed = this->find(group))
                confirmed->failover.onInstanceStopped(this->parts.self);
            this->advance(group);
        });
        for (const FleetMember& member : *members) {
            current->members[member.id] = member;
            if (member.id != this->parts.self)
                this->askInstance(group, member);
        }
    });
}

void FailoverExecutor::askInstance(const GroupId& group, const FleetMember& member)
{
    StoreVersion revision = this->parts.surroundings.getPermits().getView().lead.revision;
    this->parts.peers.ask(member.peers, this->makeLeadMessage(), peerLimit, [this, group, member, revision](const std::optional<nlohmann::json>& answer) {
        Run* current = this->find(group);
        if (current == nullptr)
            return;
        if (answer && answer->is_object() && answer->value("applied", std::uint64_t(0)) >= revision.value()) {
            current->failover.onInstanceStopped(member.id);
            return this->advance(group);
        }
        // Silence proves nothing, and neither does a refused connection: a cut may refuse as well.
        this->parts.loop.schedule(peerLimit, [this, group, member] {
            if (this->find(group) != nullptr)
                this->askInstance(group, member);
        });
    });
}

void FailoverExecutor::askStatus(const GroupId& group, const UpstreamId& upstream)
{
    const UpstreamEntry* entry = this->parts.surroundings.getUpstreamList().find(upstream);
    if (entry == nullptr)
        return;
    this->parts.commander.askStatus(*entry, [this, group, upstream](const std::optional<LeadStatus>& status, bool) {
        Run* current = this->find(group);
        if (current == nullptr || !status)
            return;
        current->failover.onStatus(upstream, *status);
        this->advance(group);
    });
}

void FailoverExecutor::demoteOld(const GroupId& group, const UpstreamId& upstream)
{
    const UpstreamEntry* entry = this->parts.surroundings.getUpstreamList().find(upstream);
    if (entry == nullptr)
        return;
    this->parts.commander.askStatus(*entry, [this, group, upstream, copy = *entry](const std::optional<LeadStatus>& status, bool) {
        if (this->find(group) == nullptr || !status)
            return;
        this->parts.commander.demote(copy, status->term.next(), [this, group](const std::optional<LeadStatus>& demoted, bool) {
            Run* current = this->find(group);
            if (current == nullptr || !demoted)
                return;
            current->failover.onOldDemoted(*demoted);
            this->advance(group);
        });
    });
}

bool FailoverExecutor::isHolder() const
{
    const PrimaryView& view = this->parts.surroundings.getPermits().getView();
    return view.lead.record != nullptr && view.lead.record->holder == this->parts.self;
}

void FailoverExecutor::promote(Run& run, const UpstreamId& upstream)
{
    if (std::exchange(run.isPromoting, true))
        return;
    this->callPromote(run.failover.getGroup(), upstream);
}

void FailoverExecutor::callPromote(const GroupId& group, const UpstreamId& upstream)
{
    if (this->find(group) == nullptr)
        return;
    if (!this->isHolder())
        return this->abandon(group, "another instance holds the duty");
    const LeaseTracker& permits = this->parts.surroundings.getPermits();
    if (permits.getRemaining(this->parts.clock.bootNow()) < dutyReserve || !this->parts.surroundings.mayAct()) {
        this->parts.loop.schedule(tickInterval, [this, group, upstream] { this->callPromote(group, upstream); });
        return;
    }
    FencingToken epoch = permits.getView().lead.record->epoch;
    logEvent(events::failoverStep, "group=" + group.toString() + " step=call upstream=" + upstream.toString() + " epoch=" + std::to_string(epoch.value()));
    this->numCalls++;
    this->parts.store.promote(group, upstream, this->parts.self, epoch, [this, group](const std::optional<bool>& isDone, const Failure& failure) {
        this->onCallEnded(isDone.has_value() || failure.kind == Failure::Kind::Conflict);
        this->onPromoted(group, isDone.has_value(), failure);
    });
}

void FailoverExecutor::onCallEnded(bool isAnswered)
{
    if (isAnswered)
        this->failingSince.reset();
    else if (!this->failingSince)
        this->failingSince = this->parts.clock.now();
    this->numCalls--;
    if (this->numCalls > 0)
        return;
    for (const std::function<void()>& callback : std::exchange(this->waitingForCalls, {}))
        callback();
}

void FailoverExecutor::whenCallsEnded(std::function<void()> callback)
{
    if (this->numCalls == 0)
        return callback();
    this->waitingForCalls.push_back(std::move(callback));
}

bool FailoverExecutor::isUnfit() const
{
    return this->failingSince && this->parts.clock.now() - *this->failingSince > unfitLimit;
}

void FailoverExecutor::onPromoted(const GroupId& group, bool isAnswered, const Failure& failure)
{
    Run* run = this->find(group);
    if (run == nullptr)
        return;
    run->isPromoting = false;
    TimePoint now = this->parts.clock.now();
    if (isAnswered || failure.kind == Failure::Kind::Conflict) {
        if (!isAnswered)
            logEvent(events::promotionFailed, "group=" + group.toString() + " upstream=" + run->failover.getChosen()->toString() + " reason=\"" + failure.reason + "\"");
        run->failover.onPromoteAnswer(isAnswered, now);
        return this->advance(group);
    }
    logEvent(events::promotionFailed, "group=" + group.toString() + " reason=\"" + failure.reason + "\" again_in_ms=" + std::to_string(promoteRetryPause.count()));
    this->parts.loop.schedule(promoteRetryPause, [this, group] {
        if (Run* current = this->find(group)) {
            current->failover.onPromoteUnanswered(this->parts.clock.now());
            this->advance(group);
        }
    });
}

nlohmann::json FailoverExecutor::makeLeadMessage() const
{
    const LeaseTracker& permits = this->parts.surroundings.getPermits();
    const PrimaryView& view = permits.getView();
    return {
        { "ask", "take_lead" },
        { "record", encodePrimaryRecord(*view.lead.record) },
        { "revision", view.lead.revision.value() },
        { "permit_us", permits.getRemaining(this->parts.clock.bootNow()).count() },
    };
}

void FailoverExecutor::recordChange(const Run& run, const LeadStatus& status)
{
    AuditRecord record;
    record.kind = AuditKind::Promotion;
    record.subject = run.failover.getGroup().toString();
    record.reason = run.cause;
    record.before = run.failover.getOldPrimary().toString();
    record.after = run.failover.getChosen()->toString() + " term " + std::to_string(status.term.value());
    this->parts.surroundings.recordChange(std::move(record));
}

void FailoverExecutor::tellAll(const Run& run)
{
    for (const std::pair<const InstanceId, FleetMember>& member : run.members) {
        if (member.first != this->parts.self)
            this->parts.peers.ask(member.second.peers, this->makeLeadMessage(), peerLimit, [](const std::optional<nlohmann::json>&) {});
    }
}

void FailoverExecutor::abandon(const GroupId& group, const std::string& reason)
{
    logEvent(events::failoverAbandoned, "group=" + group.toString() + " reason=\"" + reason + "\"");
    this->runs.erase(group);
}

} // namespace lentiljunction
