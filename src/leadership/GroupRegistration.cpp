#include "lentiljunction/leadership/GroupRegistration.h"

#include "lentiljunction/leadership/PrimaryView.h"

#include <algorithm>
#include <iterator>

namespace lentiljunction {

namespace {

    /// Upstreams that start together are listed within this time.
    constexpr std::chrono::milliseconds settleTime { 2000 };

    bool addFirstPrimary(PrimaryRecord& record, const GroupId& group, const UpstreamList& upstreams)
    {
        // Where failovers may be missing from the record, a claim may be that of a former primary.
        std::optional<UpstreamId> claimant = record.isConfirmed(group) ? findOnlyClaimant(group, upstreams) : std::nullopt;
        if (!claimant)
            return false;
        PrimaryEntry entry;
        entry.primary = *claimant;
        entry.era = record.era;
        record.groups.emplace(group, std::move(entry));
        return true;
    }

    /// Bounds the record while upstreams are replaced and none receives, so that nothing can be proved.
    constexpr std::size_t maximumLeftHolders = 8;

    bool isHolder(const LogHolder& holder, const PrimaryEntry& entry, const UpstreamList& upstreams)
    {
        const UpstreamEntry* listed = upstreams.find(holder.upstream);
        // One whose start was not known yet is added again with its start.
        bool isReplaced = listed != nullptr && listed->startedAt && !holder.startedAt;
        return holder.upstream != entry.primary && !isReplaced;
    }

    /// @returns whether a holder changed
    bool noteLeave(LogHolder& holder, const UpstreamList& upstreams)
    {
        const UpstreamEntry* listed = upstreams.find(holder.upstream);
        if (holder.leavingFrom || listed == nullptr || !listed->isLeaving || listed->startedAt != holder.startedAt)
            return false;
        holder.leavingFrom = listed->endpoint;
        return true;
    }

    void limitLeftHolders(std::vector<LogHolder>& holders, const UpstreamList& upstreams)
    {
        std::vector<LogHolder> left;
        std::copy_if(holders.begin(), holders.end(), std::back_inserter(left), [&upstreams](const LogHolder& holder) { return holder.leavingFrom && upstreams.find(holder.upstream) == nullptr; });
        if (left.size() <= maximumLeftHolders)
            return;
        std::sort(left.begin(), left.end(), [](const LogHolder& one, const LogHolder& other) { return one.startedAt > other.startedAt; });
        for (std::size_t index = maximumLeftHolders; index < left.size(); index++)
            holders.erase(std::remove(holders.begin(), holders.end(), left[index]), holders.end());
    }

} // namespace

bool GroupRegistration::updateLogHolders(PrimaryEntry& entry, const GroupId& group, const UpstreamList& upstreams)
{
    std::vector<LogHolder> holders;
    std::copy_if(entry.logHolders.begin(), entry.logHolders.end(), std::back_inserter(holders), [&](const LogHolder& holder) { return isHolder(holder, entry, upstreams); });
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : upstreams.entries) {
        LogHolder holder { upstream.first, upstream.second.startedAt };
        bool isKnown = std::find(holders.begin(), holders.end(), holder) != holders.end();
        if (upstream.second.group == group && !isKnown && isHolder(holder, entry, upstreams))
            holders.push_back(holder);
    }
    bool hasLeave = false;
    for (LogHolder& holder : holders)
        hasLeave = noteLeave(holder, upstreams) || hasLeave;
    limitLeftHolders(holders, upstreams);
    std::sort(holders.begin(), holders.end());
    bool isChanged = hasLeave || holders != entry.logHolders;
    entry.logHolders = std::move(holders);
    return isChanged;
}

bool GroupRegistration::complete(PrimaryRecord& record, const Known& known)
{
    bool isChanged = false;
    for (const std::pair<const GroupId, GroupConfig>& group : known.groups) {
        if (record.find(group.first) == nullptr)
            isChanged = addFirstPrimary(record, group.first, known.upstreams) || isChanged;
        std::map<GroupId, PrimaryEntry>::iterator entry = record.groups.find(group.first);
        // A failover in progress counts on the holders that it began with.
        bool isStable = entry != record.groups.end() && entry->second.phase == PrimaryPhase::Stable;
        if (isStable && group.second.numSynchronousReplicas > 0)
            isChanged = updateLogHolders(entry->second, group.first, known.upstreams) || isChanged;
    }
    return isChanged;
}

bool GroupRegistration::isDue(const PrimaryRecord& record, const Known& known, TimePoint now)
{
    PrimaryRecord completed = record;
    if (!complete(completed, known)) {
        this->incompleteSince.reset();
        return false;
    }
    if (!this->incompleteSince)
        this->incompleteSince = now;
    bool isSettled = std::all_of(known.groups.begin(), known.groups.end(), [&completed](const std::pair<const GroupId, GroupConfig>& group) { return completed.find(group.first) != nullptr; });
    return isSettled || now - *this->incompleteSince >= settleTime;
}

} // namespace lentiljunction
