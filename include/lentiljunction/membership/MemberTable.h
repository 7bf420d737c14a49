#pragma once

#include "lentiljunction/membership/Member.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lentiljunction {

/// A snapshot of the members. Immutable and safe to read from any thread.
using MemberList = std::vector<Member>;

/// The known members by id and by zone, with a digest of each zone.
///
/// The digests exclude dead members, so that instances may remove them at different times.
///
/// Not thread-safe; the control thread owns it.
class MemberTable {
public:
    /// Adds a member or updates its state.
    void store(const Member& member);

    /// Removes a member.
    void remove(const InstanceId& id);

    /// @returns the member, or nullptr
    const Member* find(const InstanceId& id) const;

    /// @returns the members of a zone; empty for an unknown zone
    const std::set<InstanceId>& getZone(const ZoneId& zone) const;

    /// @returns all zones that have members or had some before
    std::vector<ZoneId> getZones() const;

    /// @returns the digest of a zone's members
    std::uint64_t getDigest(const ZoneId& zone) const;

    /// @returns the digest of all members
    std::uint64_t getFleetDigest() const;

    /// @returns all members; the same object until a member changes
    std::shared_ptr<const MemberList> getAll() const;

private:
    std::map<InstanceId, Member> members;
    std::map<ZoneId, std::set<InstanceId>> zones;
    std::map<ZoneId, std::uint64_t> digests;
    mutable std::shared_ptr<const MemberList> snapshot;
};

} // namespace lentiljunction
