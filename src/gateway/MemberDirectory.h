#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// The instances known to this one, with the time since which each retired one has been retired.
///
/// An instance is retired when it did not confirm a failover. A retired instance has no lease, so failovers
/// do not wait for it until it returns to service.
///
/// @see PrimaryRecord::retired
///
/// Not thread-safe; the control thread owns it.
class MemberDirectory {
public:
    /// Replaces the list of registered instances.
    void setMembers(const std::vector<FleetMember>& list);

    /// Updates the retired instances from a newer primary record.
    ///
    /// @param now the time from which newly retired instances count as retired
    void updateRetired(const std::set<InstanceId>& retired, BootTime now);

    /// @returns whether an instance was retired so long ago that any lease of it has expired
    bool isRetiredPastLease(const InstanceId& instance, BootTime now) const;

    /// @returns the instances that are not retired
    std::vector<FleetMember> listActive() const;

    /// @returns the peer endpoints of all other instances
    std::vector<Endpoint> listOthers(const InstanceId& self) const;

    /// @returns an instance, or nothing when it is unknown
    std::optional<FleetMember> find(const InstanceId& instance) const;

    /// @returns the number of registered instances
    std::size_t getSize() const { return this->members.size(); }

private:
    std::map<InstanceId, FleetMember> members;
    std::map<InstanceId, BootTime> retiredSince;
};

} // namespace lentiljunction
