#pragma once

#include "lentiljunction/core/Random.h"
#include "lentiljunction/membership/MemberTable.h"

#include <optional>
#include <vector>

namespace lentiljunction {

/// Chooses the next member to probe.
///
/// Within the own zone, each member is probed once per round, in an order that is shuffled for each round.
/// The other zones take turns, each with a random member.
class ProbeOrder {
public:
    /// @returns the next member of the own zone, or nothing when it has no other member
    std::optional<InstanceId> nextInZone(const Member& self, const MemberTable& table, Random& random);

    /// @returns a member of the next other zone, or nothing when it has no member
    std::optional<InstanceId> nextInOtherZone(const Member& self, const MemberTable& table, Random& random);

private:
    std::vector<InstanceId> order;
    std::size_t nextZoneIndex = 0;
};

/// @returns the members of a zone that are not dead, except `self`
std::vector<InstanceId> listOthers(const MemberTable& table, const ZoneId& zone, const InstanceId& self);

} // namespace lentiljunction
