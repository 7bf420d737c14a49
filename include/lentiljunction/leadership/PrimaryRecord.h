#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/session/TermHistory.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace lentiljunction {

/// Whether a group has a primary that may be used.
enum class PrimaryPhase {
    /// The primary takes writes.
    Stable,
    /// The primary is being replaced; no instance may use it.
    Changing,
};

/// Who leads one group.
struct PrimaryEntry {
    PrimaryPhase phase = PrimaryPhase::Stable;
    /// The primary in force, or the one that is being replaced.
    UpstreamId primary;
    /// Counts the changes of primary of this group. An answer counts only if the generation is still
    /// the one under which it was asked for.
    std::uint64_t generation = 0;
    /// The head of the primary's log when it took the lead: whatever survived is at or before it.
    LogPoint baseline;
    /// The greatest term that is known of the group.
    Term term;
};

/// Who leads the groups, and who may change that. One object in the store that all instances share.
///
/// A group without an entry never had its primary replaced.
struct PrimaryRecord {
    /// The only instance that may promote.
    InstanceId coordinator;
    /// Grows with each holder.
    FencingToken epoch;
    std::map<GroupId, PrimaryEntry> groups;
    /// Instances that did not answer the holder. They get no permit until they have removed themselves
    /// from here, so nobody has to wait for them.
    std::set<InstanceId> retired;
    /// Drawn anew for each write, so that a write whose answer was lost can be recognised.
    std::string nonce;

    /// @returns the entry of a group, or nullptr
    const PrimaryEntry* find(const GroupId& group) const
    {
        std::map<GroupId, PrimaryEntry>::const_iterator found = this->groups.find(group);
        return found == this->groups.end() ? nullptr : &found->second;
    }
};

/// A record with the revision under which the store holds it.
struct VersionedPrimaryRecord {
    std::shared_ptr<const PrimaryRecord> record;
    StoreVersion revision;
};

} // namespace lentiljunction
