#pragma once

#include "lentiljunction/core/Random.h"
#include "lentiljunction/membership/MemberTable.h"

#include <optional>
#include <vector>

namespace lentiljunction {

/// Chooses whom a member probes next.
///
/// Within the zone, everybody is probed once before anybody is probed again, in an order that is
/// drawn anew each time. Of the other zones, each gives one member in turn.
class ProbeOrder {
public:
    /// @returns the next member of the own zone, or nothing when there is no other
    std::optional<InstanceId> nextInZone(const Member& self, const MemberTable& table, Random& random);

    /// @returns a member of the next other zone, or nothing when there is none
    std::optional<InstanceId> nextInOtherZone(const Member& self, const MemberTable& table, Random& random);

private:
    std::vector<InstanceId> order;
    std::size_t nextZoneIndex = 0;
};

/// @returns the members of a zone that are not dead, without one
std::vector<InstanceId> listOthers(const MemberTable& table, const ZoneId& zone, const InstanceId& self);

} // namespace lentiljunction
