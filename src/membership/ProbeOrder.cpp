#include "lentiljunction/membership/ProbeOrder.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lentiljunction {

std::optional<InstanceId> ProbeOrder::nextInZone(const Member& self, const MemberTable& table, Random& random)
{
    while (true) {
        if (this->order.empty()) {
            this->order = listOthers(table, self.zone, self.id);
            for (std::size_t index = this->order.size(); index > 1; index--)
                std::swap(this->order[index - 1], this->order[random.below(index)]);
        }
        if (this->order.empty())
            return std::nullopt;

        InstanceId candidate = this->order.back();
        this->order.pop_back();
        const Member* member = table.find(candidate);
        if (member != nullptr && member->state != MemberState::Dead)
            return candidate;
    }
}

std::optional<InstanceId> ProbeOrder::nextInOtherZone(const Member& self, const MemberTable& table, Random& random)
{
    std::vector<ZoneId> others = table.getZones();
    others.erase(std::remove(others.begin(), others.end(), self.zone), others.end());
    if (others.empty())
        return std::nullopt;

    const std::set<InstanceId>& zone = table.getZone(others[this->nextZoneIndex++ % others.size()]);
    std::vector<InstanceId> candidates(zone.begin(), zone.end());
    if (candidates.empty())
        return std::nullopt;
    return candidates[random.below(candidates.size())];
}

std::vector<InstanceId> listOthers(const MemberTable& table, const ZoneId& zone, const InstanceId& self)
{
    std::vector<InstanceId> others;
    for (const InstanceId& id : table.getZone(zone)) {
        if (id != self && table.find(id)->state != MemberState::Dead)
            others.push_back(id);
    }
    return others;
}

} // namespace lentiljunction
