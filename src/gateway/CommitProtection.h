#pragma once

#include "ReplicaResumer.h"
#include "lentiljunction/leadership/Failover.h"
#include "lentiljunction/leadership/LeaseTracker.h"
#include "lentiljunction/routes/RouteTable.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// Supplies failovers with what they need to promote the right log: one with all acknowledged commits where commits wait for
/// replicas, otherwise one that has not diverged. Also resumes replicas that failovers have paused.
///
/// Not thread-safe; the control thread owns it.
///
/// @see CommitSurvey
class CommitProtection {
public:
    /// The state of the control plane that is needed.
    class KnownState {
    public:
        virtual ~KnownState() = default;

        /// @returns the known upstreams
        virtual const UpstreamList& getUpstreamList() const = 0;
        virtual const LeaseTracker& getLeaseTracker() const = 0;

        /// @returns the routes in force, or nullptr
        virtual const std::shared_ptr<const RouteTable>& getRoutes() const = 0;

        /// @returns the upstreams of a group that are gone without having been leaving, and may return
        virtual std::vector<UpstreamId> listLostUpstreams(const GroupId& group) const = 0;

        /// @returns when this instance first saw that the primary of a group is being replaced, or nothing
        virtual std::optional<TimePoint> findChangingSince(const GroupId& group) const = 0;
    };

    CommitProtection(EventLoop& loop, const Clock& clock, UpstreamCommander& commander, const KnownState& state, InstanceId self);

    /// @returns the number of replicas for which a commit of the group waits, or nothing while the routes are not known
    std::optional<std::size_t> findSynchronousReplicas(const GroupId& group) const;

    /// Makes a failover promote only an upstream that has all acknowledged commits, or without synchronous replicas one whose
    /// log is not that of a former term.
    void apply(Failover& failover, bool isSynchronous) const;

    /// @returns the upstreams of a group without its old primary, with those that the primary record lists as log holders
    std::vector<CommitSurvey::Member> listMembers(const GroupId& group, const UpstreamId& oldPrimary) const;

    /// Lets the replicas of a group receive, if commits of the group wait for them.
    void resumeReplicas(const GroupId& group);

private:
    std::set<UpstreamId> listLeaving(const GroupId& group) const;
    /// @returns the upstream at the address of a holder that has left, or nothing
    std::optional<UpstreamId> findSuccessor(const GroupId& group, const LogHolder& holder) const;
    /// @returns the upstreams of a group without its primary; none while a failover of it is in progress
    std::vector<UpstreamEntry> listReplicas(const GroupId& group) const;

    const Clock& clock;
    const KnownState& state;
    InstanceId self;
    ReplicaResumer resumer;
};

} // namespace lentiljunction
