#pragma once

#include "lentiljunction/membership/Member.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lentiljunction {

/// The members as seen at one instant. Immutable; may be read from any thread.
using MemberList = std::vector<Member>;

/// The known members, by id and by zone, with a digest of each zone kept up to date.
///
/// Dead members do not count in digests, so that instances may forget them at different times.
///
/// Not thread-safe; the control thread owns it.
class MemberTable {
public:
    /// Adds a member or takes its new state.
    void store(const Member& member);

    /// Removes a member.
    void forget(const InstanceId& id);

    /// @returns the member, or nullptr
    const Member* find(const InstanceId& id) const;

    /// @returns the members of a zone; none for an unknown zone
    const std::set<InstanceId>& getZone(const ZoneId& zone) const;

    /// @returns all zones that have or had members
    std::vector<ZoneId> getZones() const;

    /// @returns the digest of a zone's members
    std::uint64_t getDigest(const ZoneId& zone) const;

    /// @returns the digest of all members
    std::uint64_t getFleetDigest() const;

    /// @returns every member; the same object until something changes
    std::shared_ptr<const MemberList> getAll() const;

private:
    std::map<InstanceId, Member> members;
    std::map<ZoneId, std::set<InstanceId>> zones;
    std::map<ZoneId, std::uint64_t> digests;
    mutable std::shared_ptr<const MemberList> snapshot;
};

} // namespace lentiljunction
