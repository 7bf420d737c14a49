#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/routes/RouteTable.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// Adds to the primary record what a failover must know of each group, while it can still be seen: the first primary, and
/// where commits wait for replicas the upstreams whose logs may hold acknowledged commits.
///
/// The list of upstreams forgets those that are silent, and a process forgets all when it ends. The record outlives both.
///
/// A first primary is recorded once exactly one upstream of a group claims to be the primary. A log holder is added when it
/// is listed, also while it is leaving: until it ends, it goes on receiving commits, and may be the only one that does.
/// LogHolderRemoval removes them.
///
/// Performs no I/O. Not thread-safe; the control thread owns it.
///
/// @see PrimaryEntry::logHolders
class GroupRegistration {
public:
    /// The state that the record is completed from.
    struct Known {
        /// The configured groups.
        const std::map<GroupId, GroupConfig>& groups;
        const UpstreamList& upstreams;
    };

    /// Adds what the record lacks.
    ///
    /// @returns whether the record changed
    static bool complete(PrimaryRecord& record, const Known& known);

    /// Adds the listed upstreams of a group, other than its primary, to its log holders, and notes which ones leave.
    ///
    /// @returns whether the entry changed
    static bool updateLogHolders(PrimaryEntry& entry, const GroupId& group, const UpstreamList& upstreams);

    /// Delays the write for a short time while primaries are still missing, so that the groups of a site that starts are
    /// recorded by one write.
    ///
    /// @returns whether the record must be completed now
    bool isDue(const PrimaryRecord& record, const Known& known, TimePoint now);

private:
    /// Since when the record has lacked something.
    std::optional<TimePoint> incompleteSince;
};

} // namespace lentiljunction
