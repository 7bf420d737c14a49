#include "lentiljunction/leadership/LogHolderRemoval.h"

#include "lentiljunction/routes/UpstreamRegistry.h"

#include <algorithm>
#include <iterator>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds askInterval { 2000 };

    bool isUsed(const PrimaryEntry& entry)
    {
        return entry.phase == PrimaryPhase::Stable && !entry.logHolders.empty();
    }

    bool isPrimary(const PrimaryEntry& entry, const ReplicationStatus& status)
    {
        return status.isPrimary && (!entry.isTermKnown() || status.term == entry.term);
    }

    /// @returns whether there are other upstreams than the primary, and all of them have received a log up to a point
    bool haveAllReceived(const PrimaryEntry& entry, const GroupId& group, const UpstreamList& upstreams, const LogHolderRemoval::Statuses& statuses, const LogPoint& point)
    {
        std::size_t numOthers = 0;
        for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : upstreams.entries) {
            if (upstream.second.group != group || upstream.first == entry.primary || upstream.second.isLeaving)
                continue;
            LogHolderRemoval::Statuses::const_iterator status = statuses.find(upstream.first);
            if (status == statuses.end() || status->second.received < point)
                return false;
            numOthers++;
        }
        return numOthers > 0;
    }

} // namespace

bool isRestarted(const LogHolder& holder, const UpstreamEntry& listed)
{
    return holder.startedAt && listed.startedAt && *holder.startedAt != *listed.startedAt;
}

std::set<LogHolder> LogHolderRemoval::findGone(const GroupId& group, const PrimaryEntry& entry, const UpstreamList& upstreams, TimePoint now)
{
    std::set<LogHolder> found;
    for (const LogHolder& holder : entry.logHolders) {
        const UpstreamEntry* listed = upstreams.find(holder.upstream);
        std::pair<GroupId, LogHolder> key(group, holder);
        if (listed != nullptr) {
            this->missingSince.erase(key);
            if (isRestarted(holder, *listed))
                found.insert(holder);
        } else if (now - this->missingSince.emplace(key, now).first->second >= lostUpstreamRetention)
            found.insert(holder);
    }
    return found;
}

std::vector<GroupId> LogHolderRemoval::listGroupsToAsk(const PrimaryRecord& record, const UpstreamList& upstreams, TimePoint now)
{
    std::vector<GroupId> asked;
    for (const std::pair<const GroupId, PrimaryEntry>& group : record.groups) {
        std::set<LogHolder> found = isUsed(group.second) ? this->findGone(group.first, group.second, upstreams, now) : std::set<LogHolder>();
        if (found.empty()) {
            this->gone.erase(group.first);
            this->requirements.erase(group.first);
            continue;
        }
        this->gone[group.first] = std::move(found);
        std::map<GroupId, TimePoint>::iterator last = this->askedAt.emplace(group.first, now - askInterval).first;
        if (now - last->second < askInterval)
            continue;
        last->second = now;
        asked.push_back(group.first);
    }
    return asked;
}

std::vector<LogHolder> LogHolderRemoval::onStatuses(const PrimaryRecord& record, const GroupId& group, const UpstreamList& upstreams, const Statuses& statuses)
{
    const PrimaryEntry* entry = record.find(group);
    std::map<GroupId, std::set<LogHolder>>::const_iterator found = this->gone.find(group);
    Statuses::const_iterator primary = entry == nullptr ? statuses.end() : statuses.find(entry->primary);
    if (entry == nullptr || !isUsed(*entry) || found == this->gone.end() || primary == statuses.end() || !isPrimary(*entry, primary->second))
        return {};
    std::vector<LogHolder> removable;
    std::map<GroupId, Requirement>::const_iterator requirement = this->requirements.find(group);
    bool isComparable = requirement != this->requirements.end() && requirement->second.generation == entry->generation;
    if (isComparable && haveAllReceived(*entry, group, upstreams, statuses, requirement->second.received))
        std::set_intersection(found->second.begin(), found->second.end(), requirement->second.gone.begin(), requirement->second.gone.end(), std::back_inserter(removable));
    this->requirements[group] = { entry->generation, primary->second.received, found->second };
    return removable;
}

bool LogHolderRemoval::remove(PrimaryRecord& record, const GroupId& group, std::uint64_t generation, const std::vector<LogHolder>& holders)
{
    std::map<GroupId, PrimaryEntry>::iterator entry = record.groups.find(group);
    if (entry == record.groups.end() || entry->second.phase != PrimaryPhase::Stable || entry->second.generation != generation)
        return false;
    std::vector<LogHolder>& recorded = entry->second.logHolders;
    std::size_t numBefore = recorded.size();
    recorded.erase(std::remove_if(recorded.begin(), recorded.end(), [&holders](const LogHolder& holder) { return std::find(holders.begin(), holders.end(), holder) != holders.end(); }), recorded.end());
    return recorded.size() < numBefore;
}

} // namespace lentiljunction
