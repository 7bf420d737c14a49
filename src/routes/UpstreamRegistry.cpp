#include "lentiljunction/routes/UpstreamRegistry.h"

#include <iterator>

namespace lentiljunction {

namespace {

    std::string describe(const UpstreamEntry& entry)
    {
        return "upstream=" + entry.id.toString() + " group=" + entry.group.toString() + " zone=" + entry.zone.toString() + " address=" + entry.endpoint.host + ":" + std::to_string(entry.endpoint.port)
            + " leaving=" + std::to_string(entry.isLeaving) + " claims_primary=" + std::to_string(entry.claimsPrimary);
    }

    bool isSame(const UpstreamEntry& left, const UpstreamEntry& right)
    {
        return left.group == right.group && left.endpoint.host == right.endpoint.host && left.endpoint.port == right.endpoint.port
            && left.zone == right.zone && left.slots == right.slots && left.isLeaving == right.isLeaving && left.claimsPrimary == right.claimsPrimary && left.startedAt == right.startedAt;
    }

} // namespace

void UpstreamRegistry::keepLeaving(UpstreamEntry& entry, TimePoint now)
{
    if (!entry.startedAt)
        return;
    std::map<UpstreamId, LeavingUpstream>::iterator known = this->leaving.find(entry.id);
    if (known != this->leaving.end() && known->second.startedAt == *entry.startedAt)
        entry.isLeaving = true;
    if (entry.isLeaving)
        this->leaving[entry.id] = { *entry.startedAt, now };
}

void UpstreamRegistry::forgetLeaving(TimePoint now)
{
    for (std::map<UpstreamId, LeavingUpstream>::iterator known = this->leaving.begin(); known != this->leaving.end();)
        known = now - known->second.seenAt >= leavingUpstreamRetention ? this->leaving.erase(known) : std::next(known);
    for (std::map<UpstreamId, LostUpstream>::iterator gone = this->lost.begin(); gone != this->lost.end();)
        gone = now - gone->second.lostAt >= lostUpstreamRetention ? this->lost.erase(gone) : std::next(gone);
}

std::vector<UpstreamId> UpstreamRegistry::listLost(const GroupId& group, TimePoint now) const
{
    std::vector<UpstreamId> found;
    for (const std::pair<const UpstreamId, LostUpstream>& gone : this->lost) {
        if (gone.second.group == group && now - gone.second.lostAt < lostUpstreamRetention)
            found.push_back(gone.first);
    }
    return found;
}

bool UpstreamRegistry::isGone(const UpstreamId& upstream, TimePoint now) const
{
    return this->list->find(upstream) == nullptr && this->offeredSince && now - *this->offeredSince >= missingUpstreamRetention;
}

std::vector<std::string> UpstreamRegistry::offer(const UpstreamList& snapshot, TimePoint now)
{
    std::vector<std::string> changes;
    if (!this->offeredSince)
        this->offeredSince = now;
    std::shared_ptr<UpstreamList> next = std::make_shared<UpstreamList>(snapshot);
    this->forgetLeaving(now);
    for (std::pair<const UpstreamId, UpstreamEntry>& entry : next->entries) {
        this->keepLeaving(entry.second, now);
        this->missingSince.erase(entry.first);
        this->lost.erase(entry.first);
        const UpstreamEntry* before = this->list->find(entry.first);
        if (before == nullptr || !isSame(*before, entry.second))
            changes.push_back(describe(entry.second));
    }
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : this->list->entries) {
        if (snapshot.entries.count(entry.first) > 0)
            continue;
        TimePoint since = this->missingSince.emplace(entry.first, now).first->second;
        if (now - since < missingUpstreamRetention) {
            next->entries.insert(entry);
            continue;
        }
        this->missingSince.erase(entry.first);
        if (!entry.second.isLeaving)
            this->lost[entry.first] = { entry.second.group, now };
        changes.push_back(describe(entry.second) + " gone=1");
    }
    if (!changes.empty())
        this->list = next;
    return changes;
}

} // namespace lentiljunction
