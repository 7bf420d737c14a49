#pragma once

#include "lentiljunction/fleet/FleetStore.h"

#include <optional>
#include <vector>

namespace lentiljunction {

/// Ranks the instances of an availability zone by how well they can read the store for the others: those with the fastest
/// links first, since the routing configuration may be large.
///
/// The ranks depend only on the list, so all instances with the same list agree on them.
std::vector<FleetMember> rankZoneReaders(const std::vector<FleetMember>& members, const ZoneId& zone);

/// Chooses the instance of an availability zone that reads the primary record for the others.
///
/// @see rankZoneReaders
///
/// @returns the zone reader, or nothing when the list has no instance of the zone
std::optional<FleetMember> chooseZoneReader(const std::vector<FleetMember>& members, const ZoneId& zone);

/// @returns the zone readers of all availability zones
std::vector<FleetMember> chooseZoneReaders(const std::vector<FleetMember>& members);

} // namespace lentiljunction
