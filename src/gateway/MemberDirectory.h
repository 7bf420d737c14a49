#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// The instances known to this one, with the time since which each one has been retired, absent, or not registered any more.
///
/// An instance is absent when it did not respond for some time. It is not counted in votes then; failovers wait for its lease
/// as before.
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
    void setMembers(const std::vector<FleetMember>& list, BootTime now);

    /// Updates the retired instances from a newer primary record.
    ///
    /// @param now the time from which newly retired instances count as retired
    void updateRetired(const std::set<InstanceId>& retired, BootTime now);

    /// Updates the absent instances from the primary record.
    ///
    /// @param isStoreAvailable whether this instance has a lease. While the store is away, absent ones cannot return either.
    void updateAbsent(const std::set<InstanceId>& absent, bool isStoreAvailable, BootTime now);

    /// @returns whether an instance was retired so long ago that any lease of it has expired
    bool isRetiredPastLease(const InstanceId& instance, BootTime now) const;

    /// @returns the instances that are neither retired nor have been absent for some time
    std::vector<FleetMember> listActive(BootTime now) const;

    /// @returns the active instances, with those that left a short time ago: one that starts again lends connections and decides
    ///     on limits as before, although its registration may wait for the store
    std::vector<FleetMember> listForTraffic(BootTime now) const;

    /// @returns the peer endpoints of all other instances
    std::vector<Endpoint> listOthers(const InstanceId& self) const;

    /// @returns an instance, or nothing when it is unknown
    std::optional<FleetMember> find(const InstanceId& instance) const;

    /// @returns the number of registered instances, with those that left a short time ago: an instance that starts again
    ///     takes back its share of what all instances share
    std::size_t getSize(BootTime now) const;

private:
    std::map<InstanceId, FleetMember> members;
    struct LeftMember {
        FleetMember member;
        /// When it was first missing.
        BootTime leftAt;
    };

    /// Instances that are no longer registered.
    std::map<InstanceId, LeftMember> left;
    std::map<InstanceId, BootTime> retiredSince;
    std::map<InstanceId, BootTime> absentSince;
};

} // namespace lentiljunction
