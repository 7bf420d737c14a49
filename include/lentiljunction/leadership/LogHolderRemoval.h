#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// @returns whether the upstream of a holder was started again, so that its log is another one
bool isRestarted(const LogHolder& holder, const UpstreamEntry& listed);

/// Finds recorded log holders that no failover needs to wait for any more.
///
/// A holder is gone when its upstream was restarted, or has not been listed for as long as one that crashed may take to
/// return. What it has received may be the only copy of a commit beside that of the primary. So it is removed only once
/// each other upstream of the group has received what the primary had when the holder was gone already.
///
/// Performs no I/O. Not thread-safe; the control thread owns it.
///
/// @code
/// for (const GroupId& group : removal.listGroupsToAsk(record, upstreams, clock.now()))
///     askAll(group, [&](const Statuses& statuses) { remove(group, removal.onStatuses(record, group, upstreams, statuses)); });
/// @endcode
class LogHolderRemoval {
public:
    /// The upstreams of one group that responded.
    using Statuses = std::map<UpstreamId, ReplicationStatus>;

    /// Call it for each list of upstreams that was read.
    ///
    /// @returns the groups with holders that are gone, whose upstreams must report their logs now
    std::vector<GroupId> listGroupsToAsk(const PrimaryRecord& record, const UpstreamList& upstreams, TimePoint now);

    /// The upstreams of a group were asked for their logs.
    ///
    /// @returns the holders that may be removed from the group's entry, as long as its generation does not change
    std::vector<LogHolder> onStatuses(const PrimaryRecord& record, const GroupId& group, const UpstreamList& upstreams, const Statuses& statuses);

    /// Removes holders from a group's entry.
    ///
    /// @param generation the generation of the entry when the upstreams were asked
    /// @returns whether the record changed
    static bool remove(PrimaryRecord& record, const GroupId& group, std::uint64_t generation, const std::vector<LogHolder>& holders);

private:
    /// What the others must have received before holders that were gone at that time may be removed.
    struct Requirement {
        std::uint64_t generation = 0;
        LogPoint received;
        std::set<LogHolder> gone;
    };

    std::set<LogHolder> findGone(const GroupId& group, const PrimaryEntry& entry, const UpstreamList& upstreams, TimePoint now);

    /// Since when each holder has not been listed.
    std::map<std::pair<GroupId, LogHolder>, TimePoint> missingSince;
    std::map<GroupId, std::set<LogHolder>> gone;
    std::map<GroupId, Requirement> requirements;
    std::map<GroupId, TimePoint> askedAt;
};

} // namespace lentiljunction
