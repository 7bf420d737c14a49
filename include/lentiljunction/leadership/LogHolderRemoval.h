#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// After the first report of its logs, a group is asked again this time later; replicas follow within it.
constexpr std::chrono::milliseconds logConfirmationDelay { 250 };

/// @returns whether the upstream of a holder was started again, so that its log is another one
bool isRestarted(const LogHolder& holder, const UpstreamEntry& listed);

/// Finds recorded log holders that no failover needs to wait for any more.
///
/// A holder is gone when
/// - its upstream was restarted,
/// - it is not listed any more after it announced that it leaves, or
/// - it has not been listed for as long as one that crashed may take to return.
///
/// What it has received may be the only copy of a commit beside that of the primary. So it is removed only once others have
/// received what the primary had when the holder was gone already. In place of one that left, as many other holders suffice as a
/// commit waits for, since a failover waits for these in turn. Otherwise all other upstreams of the group must have caught up: one
/// that crashed may still return and add a copy.
///
/// Performs no I/O. Not thread-safe; the control thread owns it.
///
/// @code
/// for (const GroupId& group : removal.listGroupsToAsk(record, upstreams, isGone, clock.now()))
///     askAll(group, [&](const Statuses& statuses) { remove(group, removal.onStatuses(record, group, upstreams, statuses, 1)); });
/// @endcode
class LogHolderRemoval {
public:
    /// The upstreams of one group that responded.
    using Statuses = std::map<UpstreamId, ReplicationStatus>;
    /// Tells an upstream that is gone from one whose entry may be on its way back.
    ///
    /// @see UpstreamRegistry::isGone
    using GoneCheck = std::function<bool(const UpstreamId& upstream)>;

    /// Call it for each list of upstreams that was read, and logConfirmationDelay after groups had to be asked.
    ///
    /// @returns the groups with holders that are gone, whose upstreams must report their logs now
    std::vector<GroupId> listGroupsToAsk(const PrimaryRecord& record, const UpstreamList& upstreams, const GoneCheck& isUpstreamGone, TimePoint now);

    /// The upstreams of a group were asked for their logs.
    ///
    /// @param numSynchronousReplicas replicas that have received a commit when it is acknowledged, at least 1
    /// @returns the holders that may be removed from the group's entry, as long as its generation does not change
    std::vector<LogHolder> onStatuses(const PrimaryRecord& record, const GroupId& group, const UpstreamList& upstreams, const Statuses& statuses, std::size_t numSynchronousReplicas);

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

    /// The rounds in which a group was asked since its holders that are gone last changed.
    struct Rounds {
        std::size_t number = 0;
        TimePoint lastAt;
    };

    std::set<LogHolder> findGone(const GroupId& group, const PrimaryEntry& entry, const UpstreamList& upstreams, const GoneCheck& isUpstreamGone, TimePoint now);
    /// @returns whether a group must be asked now
    bool startRound(const GroupId& group, TimePoint now);

    /// Since when each holder has not been listed.
    std::map<std::pair<GroupId, LogHolder>, TimePoint> missingSince;
    std::map<GroupId, std::set<LogHolder>> gone;
    std::map<GroupId, Requirement> requirements;
    std::map<GroupId, Rounds> rounds;
};

} // namespace lentiljunction
