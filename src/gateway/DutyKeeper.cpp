#include "DutyKeeper.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/RendezvousHash.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// For an answer of another instance: some round trips between availability zones.
    constexpr std::chrono::milliseconds peerLimit { 150 };
    /// A change of primary that is not over by then has lost its holder.
    constexpr std::chrono::milliseconds stuckLimit { 3500 };
    /// For the answers of a vote to be handled after the last of them came in time.
    constexpr std::chrono::milliseconds voteSlack { 20 };
    /// A primary that could not be reached for longer ago counts as reached again.
    constexpr std::chrono::milliseconds opinionLifetime { 1500 };
    /// Between the instances that may take the duty over, so that the first is usually alone.
    constexpr std::chrono::milliseconds takeoverStep { 150 };
    /// What instances are ordered by for the duty to replace primaries.
    const std::string dutyName = "duty";

} // namespace

DutyKeeper::DutyKeeper(const Parts& parts, Beliefs& beliefs)
    : parts(parts)
    , beliefs(beliefs)
{
}

void DutyKeeper::onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary)
{
    this->unreachableAt[primary] = this->parts.clock.now();
    this->reportTrouble(group, primary, false);
}

nlohmann::json DutyKeeper::giveOpinion(const nlohmann::json& question) const
{
    return { { "has_lost", this->hasLost(GroupId(question.value("group", "")), UpstreamId(question.value("primary", ""))) } };
}

void DutyKeeper::checkLeaders()
{
    if (this->beliefs.getRoutes() == nullptr)
        return;
    const UpstreamList& list = this->beliefs.getUpstreamList();
    for (const std::pair<const GroupId, GroupConfig>& group : this->beliefs.getRoutes()->groups) {
        std::optional<Leader> leader = this->beliefs.getPermits().getView().findLeader(group.first, list);
        if (!leader)
            continue;
        const UpstreamEntry* entry = list.find(leader->upstream);
        if (entry == nullptr || entry->isLeaving)
            this->reportTrouble(group.first, leader->upstream, true);
    }
}

void DutyKeeper::checkStuckChanges()
{
    const LeadView& view = this->beliefs.getPermits().getView();
    if (view.lead.record == nullptr)
        return;
    TimePoint now = this->parts.clock.now();
    for (const std::pair<const GroupId, GroupLead>& group : view.lead.record->groups) {
        if (group.second.phase == LeadPhase::Stable) {
            this->changingSince.erase(group.first);
            continue;
        }
        std::pair<FencingToken, TimePoint>& since = this->changingSince.emplace(group.first, std::make_pair(view.lead.record->epoch, now)).first->second;
        if (since.first != view.lead.record->epoch)
            since = { view.lead.record->epoch, now };
        if (this->parts.failovers.isActive(group.first))
            continue;
        // After its own restart a holder has forgotten the change that it began.
        if (view.lead.record->holder == this->parts.self)
            this->parts.failovers.start(group.first, group.second.primary, false, "resumed after a restart");
        else if (now - since.second >= stuckLimit + this->getTakeoverDelay())
            this->takeOver(group.first, group.second.primary, true);
    }
}

void DutyKeeper::reportTrouble(const GroupId& group, const UpstreamId& primary, bool isLeaving)
{
    const LeadView& view = this->beliefs.getPermits().getView();
    if (view.lead.record == nullptr || view.isChanging(group))
        return;
    if (view.lead.record->holder == this->parts.self)
        return this->consider(group, primary, this->parts.self, isLeaving);

    std::optional<FleetMember> holder = this->beliefs.findMember(view.lead.record->holder);
    if (!holder)
        return this->onHolderSilent(group, primary, isLeaving);
    nlohmann::json question { { "ask", "suspect" }, { "group", group.toString() }, { "primary", primary.toString() }, { "reporter", this->parts.self.toString() }, { "is_leaving", isLeaving } };
    this->parts.peers.ask(holder->peers, question, peerLimit, [this, group, primary, isLeaving](const std::optional<nlohmann::json>& answer) {
        bool isTaken = answer && answer->is_object() && answer->value("is_taken", false);
        if (!isTaken)
            this->onHolderSilent(group, primary, isLeaving);
    });
}

Duration DutyKeeper::getTakeoverDelay() const
{
    // One order for all groups: the duty is one, and two that take it for two groups disturb each other.
    std::uint64_t own = rendezvousScore(dutyName, this->parts.self.toString());
    std::vector<FleetMember> active = this->beliefs.listActiveMembers();
    std::ptrdiff_t order = std::count_if(active.begin(), active.end(), [own](const FleetMember& member) {
        return rendezvousScore(dutyName, member.id.toString()) > own;
    });
    return takeoverStep * static_cast<int>(order);
}

void DutyKeeper::onHolderSilent(const GroupId& group, const UpstreamId& primary, bool isLeaving)
{
    InstanceId silent = this->beliefs.getPermits().getView().lead.record->holder;
    // Whoever takes the duty over needs the store, and the newest record.
    this->beliefs.refreshLead();
    this->parts.loop.schedule(this->getTakeoverDelay(), [this, group, primary, isLeaving, silent] {
        std::optional<Leader> leader = this->beliefs.getPermits().getView().findLeader(group, this->beliefs.getUpstreamList());
        if (!leader || leader->upstream != primary)
            return;
        if (this->beliefs.getPermits().getView().lead.record->holder != silent)
            return this->reportTrouble(group, primary, isLeaving);
        this->takeOver(group, primary, isLeaving);
    });
}

void DutyKeeper::takeOver(const GroupId& group, const UpstreamId& primary, bool isLeaving)
{
    bool hasStore = this->beliefs.hasStore();
    if (!hasStore || this->parts.failovers.isActive(group) || this->parts.failovers.isUnfit() || !this->votes.insert(group).second)
        return;
    InstanceId former = this->beliefs.getPermits().getView().lead.record->holder;
    this->holdVote(group, primary, [this, group, primary, isLeaving, former](const TakeoverVote& vote) {
        this->votes.erase(group);
        if (this->beliefs.getPermits().getView().lead.record->holder != former)
            return;
        logEvent(events::primarySuspected, "group=" + group.toString() + " primary=" + primary.toString() + " answers=" + std::to_string(vote.getNumAnswers()) + " agreeing=" + std::to_string(vote.getNumAgreeing()) + " instances=" + std::to_string(this->beliefs.listActiveMembers().size()) + " take_over=" + std::to_string(vote.isWon()));
        if (vote.isWon())
            this->parts.failovers.start(group, primary, isLeaving && this->beliefs.getUpstreamList().find(primary) != nullptr, "its holder is silent");
    });
}

void DutyKeeper::holdVote(const GroupId& group, const UpstreamId& primary, std::function<void(const TakeoverVote& vote)> callback)
{
    std::vector<FleetMember> active = this->beliefs.listActiveMembers();
    std::shared_ptr<TakeoverVote> vote = std::make_shared<TakeoverVote>(std::max<std::size_t>(1, active.size()));
    std::shared_ptr<std::function<void(const TakeoverVote&)>> pending = std::make_shared<std::function<void(const TakeoverVote&)>>(std::move(callback));
    auto close = [vote, pending] {
        std::function<void(const TakeoverVote&)> done = std::exchange(*pending, nullptr);
        if (done)
            done(*vote);
    };
    nlohmann::json question { { "ask", "opinion" }, { "group", group.toString() }, { "primary", primary.toString() } };
    for (const FleetMember& member : active) {
        if (member.id == this->parts.self)
            continue;
        this->parts.peers.ask(member.peers, question, peerLimit, [vote, close](const std::optional<nlohmann::json>& answer) {
            if (answer && answer->is_object())
                vote->onAnswer(answer->value("has_lost", false));
            if (vote->isWon())
                close();
        });
    }
    this->parts.loop.schedule(peerLimit + voteSlack, close);
}

bool DutyKeeper::hasLost(const GroupId& group, const UpstreamId& primary) const
{
    const UpstreamEntry* entry = this->beliefs.getUpstreamList().find(primary);
    if (entry == nullptr || entry->isLeaving || this->beliefs.getPermits().getView().isChanging(group))
        return true;
    std::map<UpstreamId, TimePoint>::const_iterator lost = this->unreachableAt.find(primary);
    return lost != this->unreachableAt.end() && this->parts.clock.now() - lost->second < opinionLifetime;
}

void DutyKeeper::consider(const GroupId& group, const UpstreamId& primary, const InstanceId& reporter, bool isLeaving)
{
    std::optional<Leader> leader = this->beliefs.getPermits().getView().findLeader(group, this->beliefs.getUpstreamList());
    if (!leader || leader->upstream != primary || this->parts.failovers.isActive(group))
        return;
    // Whoever reports that it leaves has read a newer list.
    if (isLeaving)
        return this->parts.failovers.start(group, primary, this->beliefs.getUpstreamList().find(primary) != nullptr, "the primary leaves");

    TimePoint now = this->parts.clock.now();
    this->suspicions.report(primary, reporter, now);
    bool mustReplace = this->suspicions.mustReplace(primary, this->beliefs.listActiveMembers().size(), now);
    logEvent(events::primarySuspected, "group=" + group.toString() + " primary=" + primary.toString() + " reporter=" + reporter.toString() + " reporters=" + std::to_string(this->suspicions.countReporters(primary, now)) + " instances=" + std::to_string(this->beliefs.listActiveMembers().size()) + " replace=" + std::to_string(mustReplace));
    if (!mustReplace)
        return;
    this->suspicions.clear(primary);
    this->parts.failovers.start(group, primary, false, "the primary cannot be reached");
}

void DutyKeeper::onSuspect(const nlohmann::json& question, const PeerRpc::Responder& respond)
{
    const VersionedLead& lead = this->beliefs.getPermits().getView().lead;
    bool isHolder = lead.record != nullptr && lead.record->holder == this->parts.self;
    // A holder that does not reach the store, or the promotion service, can replace nobody.
    bool hasStore = this->beliefs.hasStore();
    bool isTaken = isHolder && hasStore && !this->parts.failovers.isUnfit();
    respond({ { "is_taken", isTaken } });
    if (isTaken)
        this->consider(GroupId(question.value("group", "")), UpstreamId(question.value("primary", "")), InstanceId(question.value("reporter", "")), question.value("is_leaving", false));
}

} // namespace lentiljunction
