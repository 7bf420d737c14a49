#include "lentiljunction/leadership/LogHolderRemoval.h"

#include "lentiljunction/routes/UpstreamRegistry.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds askInterval { 2000 };

    bool isUsed(const PrimaryEntry& entry)
    {
        return entry.phase == PrimaryPhase::Stable && !entry.logHolders.empty();
    }

    /// @returns the number of holders that stay and have received a log up to a point
    std::size_t countCopies(const PrimaryEntry& entry, const UpstreamList& upstreams, const LogHolderRemoval::Statuses& statuses, const LogPoint& point)
    {
        return static_cast<std::size_t>(std::count_if(entry.logHolders.begin(), entry.logHolders.end(), [&](const LogHolder& holder) {
            const UpstreamEntry* listed = upstreams.find(holder.upstream);
            LogHolderRemoval::Statuses::const_iterator status = statuses.find(holder.upstream);
            bool stays = listed != nullptr && !listed->isLeaving && listed->startedAt == holder.startedAt;
            return stays && status != statuses.end() && !(status->second.received < point);
        }));
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

std::set<LogHolder> LogHolderRemoval::findGone(const GroupId& group, const PrimaryEntry& entry, const UpstreamList& upstreams, const GoneCheck& isUpstreamGone, TimePoint now)
{
    std::set<LogHolder> found;
    for (const LogHolder& holder : entry.logHolders) {
        const UpstreamEntry* listed = upstreams.find(holder.upstream);
        std::pair<GroupId, LogHolder> key(group, holder);
        if (listed != nullptr) {
            this->missingSince.erase(key);
            if (isRestarted(holder, *listed))
                found.insert(holder);
            continue;
        }
        TimePoint since = this->missingSince.emplace(key, now).first->second;
        bool isGone = holder.leavingFrom ? isUpstreamGone(holder.upstream) : now - since >= lostUpstreamRetention;
        if (isGone)
            found.insert(holder);
    }
    return found;
}

bool LogHolderRemoval::startRound(const GroupId& group, TimePoint now)
{
    Rounds& rounds = this->rounds[group];
    if (rounds.number > 0 && now - rounds.lastAt < (rounds.number == 1 ? logConfirmationDelay : askInterval))
        return false;
    rounds.number++;
    rounds.lastAt = now;
    return true;
}

std::vector<GroupId> LogHolderRemoval::listGroupsToAsk(const PrimaryRecord& record, const UpstreamList& upstreams, const GoneCheck& isUpstreamGone, TimePoint now)
{
    std::vector<GroupId> asked;
    for (const std::pair<const GroupId, PrimaryEntry>& group : record.groups) {
        std::set<LogHolder> found = isUsed(group.second) ? this->findGone(group.first, group.second, upstreams, isUpstreamGone, now) : std::set<LogHolder>();
        if (found.empty()) {
            this->gone.erase(group.first);
            this->requirements.erase(group.first);
            this->rounds.erase(group.first);
            continue;
        }
        std::set<LogHolder>& known = this->gone[group.first];
        if (known != found)
            this->rounds.erase(group.first);
        known = std::move(found);
        if (this->startRound(group.first, now))
            asked.push_back(group.first);
    }
    return asked;
}

std::vector<LogHolder> LogHolderRemoval::onStatuses(const PrimaryRecord& record, const GroupId& group, const UpstreamList& upstreams, const Statuses& statuses, std::size_t numSynchronousReplicas)
{
    const PrimaryEntry* entry = record.find(group);
    std::map<GroupId, std::set<LogHolder>>::const_iterator found = this->gone.find(group);
    Statuses::const_iterator primary = entry == nullptr ? statuses.end() : statuses.find(entry->primary);
    if (entry == nullptr || !isUsed(*entry) || found == this->gone.end() || primary == statuses.end() || !isPrimary(*entry, primary->second))
        return {};
    std::vector<LogHolder> removable;
    std::map<GroupId, Requirement>::const_iterator requirement = this->requirements.find(group);
    if (requirement != this->requirements.end() && requirement->second.generation == entry->generation) {
        const LogPoint& required = requirement->second.received;
        bool haveAll = haveAllReceived(*entry, group, upstreams, statuses, required);
        bool haveEnough = countCopies(*entry, upstreams, statuses, required) >= numSynchronousReplicas;
        for (const LogHolder& holder : found->second) {
            bool isProved = holder.leavingFrom ? haveEnough : haveAll;
            if (isProved && requirement->second.gone.count(holder) > 0)
                removable.push_back(holder);
        }
    }
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
