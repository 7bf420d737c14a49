#pragma once

#include "lentiljunction/fleet/FleetStore.h"

#include <optional>
#include <vector>

namespace lentiljunction {

/// Chooses the instance of an availability zone that reads the primary record for the others.
///
/// The choice depends only on the list, so all instances with the same list choose the same reader.
///
/// @returns the zone reader, or nothing when the list has no instance of the zone
std::optional<FleetMember> chooseZoneReader(const std::vector<FleetMember>& members, const ZoneId& zone);

/// @returns the zone readers of all availability zones
std::vector<FleetMember> chooseZoneReaders(const std::vector<FleetMember>& members);

} // namespace lentiljunction
