#include "lentiljunction/quota/QuotaPlan.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// The coordinator and its standby.
    constexpr std::size_t coordinatorsPerPartition = 2;

} // namespace

std::size_t findQuotaPartition(const WorkspaceId& workspace)
{
    return static_cast<std::size_t>(stableHash(workspace.toString()) % numQuotaPartitions);
}

QuotaPlan::QuotaPlan(const std::vector<FleetMember>& members, const ZoneId& zone, const InstanceId& self)
{
    FleetMember own { self, zone, {} };
    for (std::size_t partition = 0; partition < numQuotaPartitions; partition++) {
        std::string key = "quota-" + std::to_string(partition);
        std::vector<FleetMember> candidates;
        for (const FleetMember& member : members) {
            if (member.quota && member.zone == zone)
                candidates.push_back(member);
        }
        std::sort(candidates.begin(), candidates.end(), [&key](const FleetMember& left, const FleetMember& right) {
            std::uint64_t leftScore = rendezvousScore(key, left.id.toString());
            std::uint64_t rightScore = rendezvousScore(key, right.id.toString());
            return leftScore != rightScore ? leftScore > rightScore : left.id < right.id;
        });
        candidates.resize(std::min(candidates.size(), coordinatorsPerPartition));
        bool hasSelf = std::any_of(candidates.begin(), candidates.end(), [&self](const FleetMember& member) { return member.id == self; });
        if (!hasSelf)
            candidates.push_back(own);
        this->orders[partition] = std::move(candidates);
    }
}

std::set<InstanceId> QuotaPlan::listInstances() const
{
    std::set<InstanceId> instances;
    for (const std::vector<FleetMember>& order : this->orders) {
        for (const FleetMember& member : order)
            instances.insert(member.id);
    }
    return instances;
}

} // namespace lentiljunction
