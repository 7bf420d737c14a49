#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// The instances that this one knows, and since when some of them are retired.
///
/// A retired instance has no permit and asks for one when it is back; until then nobody waits for it.
///
/// Belongs to the control thread.
class MemberDirectory {
public:
    /// Takes a newer list of the registered instances.
    void setMembers(const std::vector<FleetMember>& list);

    /// Takes the retired instances of a newer lead record.
    void updateRetired(const std::set<InstanceId>& retired, BootTime now);

    /// @returns whether an instance has been known as retired for longer than any permit lasts
    bool isRetiredPastLease(const InstanceId& instance, BootTime now) const;

    /// @returns the instances that are not retired
    std::vector<FleetMember> listActive() const;

    /// @returns where all other instances listen
    std::vector<Endpoint> listOthers(const InstanceId& self) const;

    /// @returns an instance, or nothing when it is not known
    std::optional<FleetMember> find(const InstanceId& instance) const;

    /// @returns the number of registered instances
    std::size_t getSize() const { return this->members.size(); }

private:
    std::map<InstanceId, FleetMember> members;
    std::map<InstanceId, BootTime> retiredSince;
};

} // namespace lentiljunction
