#pragma once

#include "lentiljunction/fleet/FleetStore.h"

#include <vector>

namespace lentiljunction {

/// Chooses the instances whose vote an instance requests before it takes over the failover coordination.
///
/// In a large fleet one small machine cannot open links to all others within the time of a vote. A sample tells as
/// well whether this instance reaches a majority: one that is cut off with a sixth of the fleet reaches about a
/// sixth of its sample.
///
/// @param active the active instances
/// @param self this instance, which is not among the voters
/// @returns all other instances of a small fleet, or the same sample for each call
std::vector<FleetMember> chooseVoters(const std::vector<FleetMember>& active, const InstanceId& self);

} // namespace lentiljunction
