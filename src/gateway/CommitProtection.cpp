#include "CommitProtection.h"

#include "lentiljunction/leadership/LogHolderRemoval.h"

#include <map>
#include <set>
#include <utility>

namespace lentiljunction {

namespace {

    /// Longer than a crashed upstream needs to return with its log. After it, an available primary counts for more than
    /// commits that only lost upstreams have.
    constexpr std::chrono::seconds commitWait { 15 };

} // namespace

CommitProtection::CommitProtection(EventLoop& loop, const Clock& clock, UpstreamCommander& commander, const KnownState& state, InstanceId self)
    : clock(clock)
    , state(state)
    , self(std::move(self))
    , resumer(loop, commander, [this](const GroupId& group) { return this->listReplicas(group); })
{
}

std::optional<std::size_t> CommitProtection::findSynchronousReplicas(const GroupId& group) const
{
    if (this->state.getRoutes() == nullptr)
        return std::nullopt;
    std::map<GroupId, GroupConfig>::const_iterator found = this->state.getRoutes()->groups.find(group);
    return found == this->state.getRoutes()->groups.end() ? 0 : found->second.numSynchronousReplicas;
}

void CommitProtection::apply(Failover& failover, bool isSynchronous) const
{
    const PrimaryRecord& record = *this->state.getLeaseTracker().getView().latest.record;
    const PrimaryEntry* entry = record.find(failover.getGroup());
    TimePoint since = this->state.findChangingSince(failover.getGroup()).value_or(this->clock.now());
    if (!isSynchronous)
        return failover.compareLogs(entry == nullptr ? LogPoint() : entry->baseline, this->listLeaving(failover.getGroup()), since + commitWait);
    const UpstreamEntry* old = this->state.getUpstreamList().find(failover.getOldPrimary());
    bool isLeaving = old == nullptr || old->isLeaving;
    CommitSurvey survey(failover.getOldPrimary(), isLeaving, this->findSynchronousReplicas(failover.getGroup()).value_or(1), entry == nullptr ? LogPoint() : entry->baseline);
    survey.setMembers(this->listMembers(failover.getGroup(), failover.getOldPrimary()));
    failover.requireAcknowledgedCommits(std::move(survey), record.isConfirmed(failover.getGroup()), since + commitWait);
}

std::vector<CommitSurvey::Member> CommitProtection::listMembers(const GroupId& group, const UpstreamId& oldPrimary) const
{
    std::vector<CommitSurvey::Member> members;
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : this->state.getUpstreamList().entries) {
        if (upstream.second.group == group && upstream.first != oldPrimary)
            members.push_back({ upstream.first, upstream.second.isLeaving, true, false, upstream.second.startedAt });
    }
    std::map<UpstreamId, std::optional<UpstreamId>> successorsOfLost;
    const PrimaryEntry* entry = this->state.getLeaseTracker().getView().latest.record->find(group);
    for (const LogHolder& holder : entry == nullptr ? std::vector<LogHolder>() : entry->logHolders) {
        const UpstreamEntry* listed = this->state.getUpstreamList().find(holder.upstream);
        // This instance may have started after the entry of the holder expired.
        if (listed == nullptr) {
            std::optional<UpstreamId> successor = this->findSuccessor(group, holder);
            std::optional<UpstreamId>& known = successorsOfLost.emplace(holder.upstream, successor).first->second;
            // An earlier start of it had another log.
            if (!successor)
                known.reset();
        } else if (holder.upstream != oldPrimary && isRestarted(holder, *listed))
            members.push_back({ holder.upstream, false, false, true });
    }
    for (const UpstreamId& upstream : this->state.listLostUpstreams(group))
        successorsOfLost.emplace(upstream, std::nullopt);
    for (const std::pair<const UpstreamId, std::optional<UpstreamId>>& lost : successorsOfLost) {
        if (lost.first != oldPrimary && this->state.getUpstreamList().find(lost.first) == nullptr)
            members.push_back({ lost.first, false, false, false, std::nullopt, lost.second });
    }
    return members;
}

std::set<UpstreamId> CommitProtection::listLeaving(const GroupId& group) const
{
    std::set<UpstreamId> leaving;
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : this->state.getUpstreamList().entries) {
        if (upstream.second.group == group && upstream.second.isLeaving)
            leaving.insert(upstream.first);
    }
    return leaving;
}

std::optional<UpstreamId> CommitProtection::findSuccessor(const GroupId& group, const LogHolder& holder) const
{
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : this->state.getUpstreamList().entries) {
        if (holder.leavingFrom && upstream.second.group == group && upstream.second.endpoint == *holder.leavingFrom)
            return upstream.first;
    }
    return std::nullopt;
}

std::vector<UpstreamEntry> CommitProtection::listReplicas(const GroupId& group) const
{
    const PrimaryView& view = this->state.getLeaseTracker().getView();
    std::optional<PrimaryTenure> primary = view.findPrimaryTenure(group, this->state.getUpstreamList());
    bool isCoordinator = view.latest.record != nullptr && view.latest.record->coordinator == this->self;
    std::vector<UpstreamEntry> replicas;
    // A pause belongs to the failover in progress, or to the coordinator that took over.
    if (!primary || !isCoordinator)
        return replicas;
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : this->state.getUpstreamList().entries) {
        if (upstream.second.group == group && upstream.first != primary->upstream)
            replicas.push_back(upstream.second);
    }
    return replicas;
}

void CommitProtection::resumeReplicas(const GroupId& group)
{
    if (this->findSynchronousReplicas(group).value_or(0) > 0)
        this->resumer.resume(group);
}

} // namespace lentiljunction
