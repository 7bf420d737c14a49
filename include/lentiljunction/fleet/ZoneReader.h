#pragma once

#include "lentiljunction/fleet/FleetStore.h"

#include <optional>
#include <vector>

namespace lentiljunction {

/// Chooses the instance of an availability zone that reads the lead record for the others.
///
/// Every instance of the zone chooses the same one from the same list.
///
/// @returns the reader, or nothing when the zone has no instance in the list
std::optional<FleetMember> chooseZoneReader(const std::vector<FleetMember>& members, const ZoneId& zone);

} // namespace lentiljunction
