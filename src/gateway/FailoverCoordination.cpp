#include "FailoverCoordination.h"

#include "lentiljunction/core/JsonFields.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/RendezvousHash.h"
#include "lentiljunction/fleet/Voters.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lentiljunction {

namespace {

    /// Allows several round trips between availability zones.
    constexpr std::chrono::milliseconds peerTimeout { 150 };
    /// A failover that takes longer has lost its coordinator.
    constexpr std::chrono::milliseconds stalledFailoverTimeout { 3500 };
    /// Time to process responses that arrive just before their timeout.
    constexpr std::chrono::milliseconds voteGracePeriod { 20 };
    /// How long a primary counts as lost after a connection to it failed.
    constexpr std::chrono::milliseconds unreachableLifetime { 1500 };
    /// Interval at which a coordinator that lacks reports asks which instances run.
    constexpr std::chrono::milliseconds presenceInterval { 2000 };
    /// Delay between the takeover attempts of consecutive instances, so that usually only the first one tries.
    constexpr std::chrono::milliseconds takeoverStagger { 150 };
    /// Key of the rendezvous hash that orders the instances for a takeover; must be the same in all instances.
    const std::string coordinationKey = "duty";

} // namespace

FailoverCoordination::FailoverCoordination(const Dependencies& dependencies, KnownState& state)
    : dependencies(dependencies)
    , state(state)
    , votedAt(dependencies.clock.bootNow())
{
}

Duration FailoverCoordination::getTimeSinceVote() const
{
    return std::chrono::duration_cast<Duration>(this->dependencies.clock.bootNow() - this->votedAt);
}

void FailoverCoordination::onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary)
{
    this->unreachableAt[primary] = this->dependencies.clock.now();
    this->requestReplacement(group, primary, false);
}

nlohmann::json FailoverCoordination::makeVoteResponse(const nlohmann::json& request)
{
    this->votedAt = this->dependencies.clock.bootNow();
    return { { "has_lost", this->hasLostPrimary(GroupId(request.value("group", "")), UpstreamId(request.value("primary", ""))) } };
}

void FailoverCoordination::checkPrimaries()
{
    if (this->state.getRoutes() == nullptr)
        return;
    const UpstreamList& list = this->state.getUpstreamList();
    for (const std::pair<const GroupId, GroupConfig>& group : this->state.getRoutes()->groups) {
        std::optional<PrimaryTenure> tenure = this->state.getLeaseTracker().getView().findPrimaryTenure(group.first, list);
        if (tenure && this->isLeavingOrGone(tenure->upstream))
            this->requestReplacement(group.first, tenure->upstream, true);
    }
    this->checkRoles();
}

void FailoverCoordination::checkStalledFailovers()
{
    const PrimaryView& view = this->state.getLeaseTracker().getView();
    if (view.latest.record == nullptr)
        return;
    TimePoint now = this->dependencies.clock.now();
    for (const std::pair<const GroupId, PrimaryEntry>& group : view.latest.record->groups) {
        if (group.second.phase == PrimaryPhase::Stable) {
            this->changingSince.erase(group.first);
            this->firstSeenChanging.erase(group.first);
            continue;
        }
        this->firstSeenChanging.emplace(group.first, now);
        std::pair<FencingToken, TimePoint>& since = this->changingSince.emplace(group.first, std::make_pair(view.latest.record->epoch, now)).first->second;
        if (since.first != view.latest.record->epoch)
            since = { view.latest.record->epoch, now };
        if (this->dependencies.executor.isActive(group.first))
            continue;
        // A coordinator that was restarted does not know the failover that it had started.
        if (view.latest.record->coordinator == this->dependencies.self)
            this->dependencies.executor.start(group.first, group.second.primary, false, "resumed after a restart");
        else if (now - since.second >= stalledFailoverTimeout + this->getTakeoverDelay())
            this->takeOverStalled(group.first, group.second.primary);
    }
    this->checkRoles();
}

void FailoverCoordination::takeOverStalled(const GroupId& group, const UpstreamId& primary)
{
    std::optional<FleetMember> coordinator = this->state.findMember(this->state.getLeaseTracker().getView().latest.record->coordinator);
    if (!coordinator)
        return this->tryTakeover(group, primary, true);
    this->dependencies.peers.ask(coordinator->peers, { { "ask", "failover_progress" }, { "group", group.toString() } }, peerTimeout, [this, group, primary](const std::optional<nlohmann::json>& response) {
        std::map<GroupId, std::pair<FencingToken, TimePoint>>::iterator since = this->changingSince.find(group);
        if (since == this->changingSince.end())
            return;
        if (response && response->is_object() && response->value("is_waiting", false))
            since->second.second = this->dependencies.clock.now();
        else
            this->tryTakeover(group, primary, true);
    });
}

std::optional<TimePoint> FailoverCoordination::findChangingSince(const GroupId& group) const
{
    std::map<GroupId, TimePoint>::const_iterator found = this->firstSeenChanging.find(group);
    return found == this->firstSeenChanging.end() ? std::nullopt : std::optional<TimePoint>(found->second);
}

nlohmann::json FailoverCoordination::makeProgressResponse(const nlohmann::json& request) const
{
    // Without the store or the promotion service, the coordinator cannot carry out the failover in the end.
    bool canPromote = this->state.isStoreReachable() && !this->dependencies.executor.arePromotionsFailing();
    return { { "is_waiting", canPromote && this->dependencies.executor.isProgressing(GroupId(request.value("group", ""))) } };
}

void FailoverCoordination::requestReplacement(const GroupId& group, const UpstreamId& primary, bool isLeaving)
{
    const PrimaryView& view = this->state.getLeaseTracker().getView();
    if (view.latest.record == nullptr || view.isChanging(group))
        return;
    if (view.latest.record->coordinator == this->dependencies.self)
        return this->considerReplacement(group, primary, this->dependencies.self, isLeaving);

    std::optional<FleetMember> coordinator = this->state.findMember(view.latest.record->coordinator);
    if (!coordinator)
        return this->onCoordinatorUnavailable(group, primary, isLeaving);
    nlohmann::json request { { "ask", "suspect" }, { "group", group.toString() }, { "primary", primary.toString() }, { "reporter", this->dependencies.self.toString() }, { "is_leaving", isLeaving } };
    this->dependencies.peers.ask(coordinator->peers, request, peerTimeout, [this, group, primary, isLeaving](const std::optional<nlohmann::json>& response) {
        bool isAccepted = response && response->is_object() && response->value("is_taken", false);
        if (!isAccepted)
            this->onCoordinatorUnavailable(group, primary, isLeaving);
    });
}

Duration FailoverCoordination::getTakeoverDelay() const
{
    // The order is the same for all groups. There is one coordinator for all groups, so instances that take over
    // for different groups at the same time would displace each other.
    std::uint64_t ownScore = rendezvousScore(coordinationKey, this->dependencies.self.toString());
    std::vector<FleetMember> active = this->state.listActiveMembers();
    std::ptrdiff_t numAhead = std::count_if(active.begin(), active.end(), [ownScore](const FleetMember& member) {
        return rendezvousScore(coordinationKey, member.id.toString()) > ownScore;
    });
    return takeoverStagger * static_cast<int>(numAhead);
}

void FailoverCoordination::onCoordinatorUnavailable(const GroupId& group, const UpstreamId& primary, bool isLeaving)
{
    InstanceId unavailableCoordinator = this->state.getLeaseTracker().getView().latest.record->coordinator;
    // A takeover requires a reachable store and the newest record.
    this->state.refreshPrimaryRecord();
    this->dependencies.loop.schedule(this->getTakeoverDelay(), [this, group, primary, isLeaving, unavailableCoordinator] {
        std::optional<PrimaryTenure> tenure = this->state.getLeaseTracker().getView().findPrimaryTenure(group, this->state.getUpstreamList());
        if (!tenure || tenure->upstream != primary)
            return;
        if (this->state.getLeaseTracker().getView().latest.record->coordinator != unavailableCoordinator)
            return this->requestReplacement(group, primary, isLeaving);
        this->tryTakeover(group, primary, isLeaving);
    });
}

void FailoverCoordination::tryTakeover(const GroupId& group, const UpstreamId& primary, bool isLeaving)
{
    bool isStoreReachable = this->state.isStoreReachable();
    // Without the list of instances, each vote would be won.
    bool areMembersKnown = this->state.findMember(this->dependencies.self).has_value();
    if (!isStoreReachable || !areMembersKnown || this->dependencies.executor.isActive(group) || this->dependencies.executor.arePromotionsFailing() || !this->groupsVoting.insert(group).second)
        return;
    InstanceId previousCoordinator = this->state.getLeaseTracker().getView().latest.record->coordinator;
    this->collectVotes(group, primary, [this, group, primary, isLeaving, previousCoordinator](const TakeoverVote& vote) {
        this->groupsVoting.erase(group);
        if (this->state.getLeaseTracker().getView().latest.record->coordinator != previousCoordinator)
            return;
        logEvent(events::primarySuspected, "group=" + group.toString() + " primary=" + primary.toString() + " answers=" + std::to_string(vote.getNumVotes()) + " agreeing=" + std::to_string(vote.getNumAgreeing()) + " instances=" + std::to_string(this->state.listActiveMembers().size()) + " take_over=" + std::to_string(vote.isWon()));
        if (vote.isWon())
            this->dependencies.executor.start(group, primary, isLeaving && this->state.getUpstreamList().find(primary) != nullptr, "its holder is silent");
        else
            this->callRoll();
    });
}

void FailoverCoordination::requestPresence()
{
    TimePoint now = this->dependencies.clock.now();
    if (now - this->presenceRequestedAt < presenceInterval)
        return;
    this->presenceRequestedAt = now;
    for (const FleetMember& member : chooseVoters(this->state.listActiveMembers(), this->dependencies.self))
        this->dependencies.peers.ask(member.peers, { { "ask", "record_version" } }, peerTimeout, [this, id = member.id](const std::optional<nlohmann::json>& response) { this->rollCall.onAsked(id, response.has_value(), this->dependencies.clock.now()); });
    this->dependencies.loop.schedule(peerTimeout + voteGracePeriod, [this] { this->callRoll(); });
}

void FailoverCoordination::callRoll()
{
    const PrimaryRecord& record = *this->state.getLeaseTracker().getView().latest.record;
    std::vector<InstanceId> silent = this->rollCall.listSilent(record.coordinator, this->dependencies.clock.now());
    silent.erase(std::remove_if(silent.begin(), silent.end(), [&record](const InstanceId& instance) { return record.retired.count(instance) + record.absent.count(instance) > 0; }), silent.end());
    if (silent.empty() || !this->state.isStoreReachable() || std::exchange(this->isCallingRoll, true))
        return;
    this->dependencies.writer.submit(
        [silent](PrimaryRecord& latest) {
            latest.absent.insert(silent.begin(), silent.end());
            return true;
        },
        [this, silent](bool isWritten, BootTime) {
            this->isCallingRoll = false;
            logEvent(events::rollCalled, "instances=" + std::to_string(silent.size()) + " first=" + silent.front().toString() + " written=" + std::to_string(isWritten));
            if (isWritten)
                this->rollCall.onListed(silent, this->dependencies.clock.now());
        });
}

void FailoverCoordination::collectVotes(const GroupId& group, const UpstreamId& primary, std::function<void(const TakeoverVote& vote)> callback)
{
    this->votedAt = this->dependencies.clock.bootNow();
    std::vector<FleetMember> voters = chooseVoters(this->state.listActiveMembers(), this->dependencies.self);
    std::shared_ptr<TakeoverVote> vote = std::make_shared<TakeoverVote>(voters.size() + 1);
    std::shared_ptr<std::function<void(const TakeoverVote&)>> pendingCallback = std::make_shared<std::function<void(const TakeoverVote&)>>(std::move(callback));
    auto finishVote = [vote, pendingCallback] {
        std::function<void(const TakeoverVote&)> done = std::exchange(*pendingCallback, nullptr);
        if (done)
            done(*vote);
    };
    nlohmann::json request { { "ask", "opinion" }, { "group", group.toString() }, { "primary", primary.toString() } };
    for (const FleetMember& member : voters) {
        this->dependencies.peers.ask(member.peers, request, peerTimeout, [this, id = member.id, vote, finishVote](const std::optional<nlohmann::json>& response) {
            this->rollCall.onAsked(id, response.has_value(), this->dependencies.clock.now());
            if (response && response->is_object())
                vote->addVote(response->value("has_lost", false));
            if (vote->isWon())
                finishVote();
        });
    }
    this->dependencies.loop.schedule(peerTimeout + voteGracePeriod, finishVote);
}

bool FailoverCoordination::isLeavingOrGone(const UpstreamId& primary) const
{
    const UpstreamEntry* entry = this->state.getUpstreamList().find(primary);
    return entry == nullptr ? this->state.isUpstreamGone(primary) : entry->isLeaving;
}

bool FailoverCoordination::hasLostPrimary(const GroupId& group, const UpstreamId& primary) const
{
    if (this->isLeavingOrGone(primary) || this->state.getLeaseTracker().getView().isChanging(group))
        return true;
    std::map<UpstreamId, TimePoint>::const_iterator lost = this->unreachableAt.find(primary);
    return lost != this->unreachableAt.end() && this->dependencies.clock.now() - lost->second < unreachableLifetime;
}

void FailoverCoordination::considerReplacement(const GroupId& group, const UpstreamId& primary, const InstanceId& reporter, bool isLeaving)
{
    std::optional<PrimaryTenure> tenure = this->state.getLeaseTracker().getView().findPrimaryTenure(group, this->state.getUpstreamList());
    if (!tenure || tenure->upstream != primary || this->dependencies.executor.isActive(group))
        return;
    // The reporter of a leaving primary may have read a newer list of upstreams than this instance.
    if (isLeaving)
        return this->dependencies.executor.start(group, primary, this->state.getUpstreamList().find(primary) != nullptr, "the primary leaves");

    TimePoint now = this->dependencies.clock.now();
    this->suspicions.report(primary, reporter, now);
    bool mustReplace = this->suspicions.mustReplace(primary, this->state.listActiveMembers().size(), now);
    logEvent(events::primarySuspected, "group=" + group.toString() + " primary=" + primary.toString() + " reporter=" + reporter.toString() + " reporters=" + std::to_string(this->suspicions.countReporters(primary, now)) + " instances=" + std::to_string(this->state.listActiveMembers().size()) + " replace=" + std::to_string(mustReplace));
    // Instances that are lost for good count until they are listed as absent.
    if (!mustReplace)
        return this->requestPresence();
    this->suspicions.clear(primary);
    this->dependencies.executor.start(group, primary, false, "the primary cannot be reached");
}

void FailoverCoordination::onSuspicionReport(const nlohmann::json& request, const PeerRpc::Responder& respond)
{
    bool isAccepted = this->canReplace();
    respond({ { "is_taken", isAccepted } });
    if (isAccepted)
        this->considerReplacement(GroupId(request.value("group", "")), UpstreamId(request.value("primary", "")), InstanceId(request.value("reporter", "")), request.value("is_leaving", false));
}

bool FailoverCoordination::isCoordinator() const
{
    const VersionedPrimaryRecord& latest = this->state.getLeaseTracker().getView().latest;
    return latest.record != nullptr && latest.record->coordinator == this->dependencies.self;
}

bool FailoverCoordination::canReplace() const
{
    // Without the store or the promotion service, the coordinator cannot carry out a failover.
    return this->isCoordinator() && this->state.isStoreReachable() && !this->dependencies.executor.arePromotionsFailing();
}

void FailoverCoordination::onNewerTerm(const GroupId& group, const UpstreamId& upstream, Term term)
{
    const PrimaryView& view = this->state.getLeaseTracker().getView();
    if (view.latest.record == nullptr || !RoleMonitor::isNewer(*view.latest.record, group, term))
        return;
    if (this->isCoordinator())
        return this->considerNewerTerm(group, upstream, term);
    std::optional<FleetMember> coordinator = this->state.findMember(view.latest.record->coordinator);
    if (!coordinator || !this->groupsReporting.insert(group).second)
        return;
    nlohmann::json request { { "ask", "newer_term" }, { "group", group.toString() }, { "upstream", upstream.toString() }, { "term", term.value() } };
    // Where the coordinator does not accept it, the next report follows soon.
    this->dependencies.peers.ask(coordinator->peers, request, peerTimeout, [this, group](const std::optional<nlohmann::json>&) { this->groupsReporting.erase(group); });
}

void FailoverCoordination::onNewerTermReport(const nlohmann::json& request, const PeerRpc::Responder& respond)
{
    std::vector<std::string> faults;
    JsonFields fields(request, "newer term", faults);
    GroupId group(fields.getText("group"));
    UpstreamId upstream(fields.getText("upstream"));
    Term term(static_cast<std::uint64_t>(fields.getInteger("term", 1, std::numeric_limits<std::int64_t>::max())));
    if (!faults.empty())
        return logEvent(events::peerMessageInvalid, "reason=\"" + joinFaults(faults) + "\"");
    bool isAccepted = this->canReplace();
    respond({ { "is_taken", isAccepted } });
    if (isAccepted)
        this->considerNewerTerm(group, upstream, term);
}

void FailoverCoordination::considerNewerTerm(const GroupId& group, const UpstreamId& upstream, Term term)
{
    const PrimaryRecord& record = *this->state.getLeaseTracker().getView().latest.record;
    if (!RoleMonitor::isNewer(record, group, term))
        return;
    logEvent(events::newerTermSeen, "group=" + group.toString() + " upstream=" + upstream.toString() + " term=" + std::to_string(term.value()) + " recorded=" + std::to_string(record.find(group)->term.value()) + " step=seen");
    this->roles.onTermSeen(group, term, this->dependencies.clock.now());
    this->checkRoles();
}

void FailoverCoordination::checkRoles()
{
    if (!this->isCoordinator())
        return;
    const PrimaryRecord& record = *this->state.getLeaseTracker().getView().latest.record;
    const UpstreamList& list = this->state.getUpstreamList();
    for (const UpstreamId& upstream : this->roles.listUpstreamsToAsk(record, list, this->dependencies.clock.now())) {
        const UpstreamEntry& entry = *list.find(upstream);
        std::uint64_t generation = record.find(entry.group)->generation;
        this->dependencies.commander.requestStatus(entry, [this, entry, generation](const std::optional<ReplicationStatus>& status, bool) {
            if (status)
                this->onRoleReported(entry, generation, *status);
        });
    }
}

void FailoverCoordination::onRoleReported(const UpstreamEntry& upstream, std::uint64_t generation, const ReplicationStatus& status)
{
    if (!this->isCoordinator() || this->dependencies.executor.isActive(upstream.group))
        return;
    const PrimaryRecord& record = *this->state.getLeaseTracker().getView().latest.record;
    RoleMonitor::Action action = this->roles.onStatus(record, upstream.group, generation, upstream.id, status, this->dependencies.clock.now());
    if (action == RoleMonitor::Action::None)
        return;
    const PrimaryEntry& entry = *record.find(upstream.group);
    std::string detail = "group=" + upstream.group.toString() + " upstream=" + upstream.id.toString() + " term=" + std::to_string(status.term.value()) + " primary=" + entry.primary.toString() + " recorded=" + std::to_string(entry.term.value());
    if (action == RoleMonitor::Action::ReplaceRecordedPrimary) {
        logEvent(events::newerTermSeen, detail + " step=led");
        if (this->canReplace())
            this->dependencies.executor.start(upstream.group, entry.primary, false, "another upstream leads a newer term");
        return;
    }
    if (action == RoleMonitor::Action::ReplaceDemotedPrimary) {
        logEvent(events::primaryDemoted, detail);
        // It still responds, so the replicas are given time to catch up with what it reports.
        if (this->canReplace())
            this->dependencies.executor.start(upstream.group, entry.primary, true, "the primary has become a replica");
        return;
    }
    bool mustDemote = action == RoleMonitor::Action::Demote;
    logEvent(events::formerPrimaryFound, detail + " demote=" + std::to_string(mustDemote));
    // A late one does no harm: it has no effect on a primary in the recorded term or a newer one.
    if (mustDemote)
        this->dependencies.commander.demote(upstream, entry.term, [](const std::optional<ReplicationStatus>&, bool) {});
}

} // namespace lentiljunction
