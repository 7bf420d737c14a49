#pragma once

#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/quota/QuotaLimit.h"

#include <array>
#include <set>
#include <vector>

namespace lentiljunction {

/// Chooses the instances that decide on the operations of each partition in an availability zone.
///
/// Differing lists do no harm: an instance's share counts where the instance delegates it.
class QuotaPlan {
public:
    /// A plan without instances.
    QuotaPlan() = default;

    /// @param members the active instances
    /// @param zone the availability zone of this instance
    /// @param self this instance, which is the last in each order
    QuotaPlan(const std::vector<FleetMember>& members, const ZoneId& zone, const InstanceId& self);

    /// @returns the coordinator, the standby and this instance itself, without repetition
    const std::vector<FleetMember>& getOrder(std::size_t partition) const { return this->orders.at(partition); }

    /// @returns all instances of the orders
    std::set<InstanceId> listInstances() const;

private:
    std::array<std::vector<FleetMember>, numQuotaPartitions> orders;
};

} // namespace lentiljunction
