#pragma once

#include "UpstreamCommander.h"
#include "lentiljunction/core/EventLoop.h"

#include <functional>
#include <map>
#include <vector>

namespace lentiljunction {

/// Lets replicas receive again after a failover has paused them.
///
/// In a group whose primary waits for replicas, a replica that stays paused would stop all commits. It may have been
/// paused by a coordinator that was lost since, so every replica of the group is resumed. Commands use connections of their
/// own, so a pause may take effect after a replica was resumed. Therefore each one is resumed a second time later.
///
/// Not thread-safe; the control thread owns it.
///
/// @see CommitSurvey
class ReplicaResumer {
public:
    /// @returns the upstreams of a group that still are to be resumed; none once a failover of it is in progress
    using ReplicaLister = std::function<std::vector<UpstreamEntry>(const GroupId& group)>;

    ReplicaResumer(EventLoop& loop, UpstreamCommander& commander, ReplicaLister listReplicas);

    /// Resumes the replicas of a group. Those that do not respond are tried again for some time.
    void resume(const GroupId& group);

private:
    /// The replicas of one group that were not resumed yet.
    struct Run {
        std::uint64_t number = 0;
        /// The last round in which each replica was resumed.
        std::map<UpstreamId, int> resumedIn;
        int numRounds = 0;
    };

    /// @returns whether a replica is to be resumed in the present round
    static bool isDue(const Run& run, const UpstreamId& replica);
    /// @returns whether a replica has been resumed for the last time
    static bool isFinished(const Run& run, const UpstreamId& replica);
    void sendRound(const GroupId& group, std::uint64_t number);
    Run* findRun(const GroupId& group, std::uint64_t number);

    EventLoop& loop;
    UpstreamCommander& commander;
    ReplicaLister listReplicas;
    std::map<GroupId, Run> runs;
    std::uint64_t nextNumber = 1;
};

} // namespace lentiljunction
