#include "lentiljunction/leadership/GroupRegistration.h"

#include "lentiljunction/leadership/PrimaryView.h"

#include <algorithm>

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

    bool isHolder(const LogHolder& holder, const PrimaryEntry& entry, const UpstreamList& upstreams)
    {
        const UpstreamEntry* listed = upstreams.find(holder.upstream);
        // One whose start was not known yet is added again with its start.
        bool isReplaced = listed != nullptr && listed->startedAt && !holder.startedAt;
        return holder.upstream != entry.primary && (listed == nullptr || !listed->isLeaving) && !isReplaced;
    }

    bool updateLogHolders(PrimaryEntry& entry, const GroupId& group, const UpstreamList& upstreams)
    {
        std::vector<LogHolder> holders;
        for (const LogHolder& holder : entry.logHolders) {
            if (isHolder(holder, entry, upstreams))
                holders.push_back(holder);
        }
        for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : upstreams.entries) {
            LogHolder holder { upstream.first, upstream.second.startedAt };
            bool isKnown = std::find(holders.begin(), holders.end(), holder) != holders.end();
            if (upstream.second.group == group && !isKnown && isHolder(holder, entry, upstreams))
                holders.push_back(holder);
        }
        std::sort(holders.begin(), holders.end());
        bool isChanged = holders != entry.logHolders;
        entry.logHolders = std::move(holders);
        return isChanged;
    }

} // namespace

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
