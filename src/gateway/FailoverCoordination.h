#pragma once

#include "../peer/PeerRpc.h"
#include "FailoverExecutor.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/leadership/RoleMonitor.h"
#include "lentiljunction/leadership/RollCall.h"
#include "lentiljunction/leadership/SuspicionTracker.h"
#include "lentiljunction/leadership/TakeoverVote.h"
#include "lentiljunction/routes/RouteTable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// Decides, together with the other instances, when a primary is replaced and which instance does it.
///
/// Reports go to the failover coordinator. It replaces a primary that is leaving or that a share of the
/// instances has lost. If the coordinator does not accept a report, another instance takes over its role
/// after a vote.
///
/// Not thread-safe; the control thread owns it.
///
/// @see FailoverExecutor, which carries out a failover
class FailoverCoordination {
public:
    /// The state of the control plane that the decisions need.
    class KnownState {
    public:
        virtual ~KnownState() = default;
        virtual const UpstreamList& getUpstreamList() const = 0;
        virtual const LeaseTracker& getLeaseTracker() const = 0;

        /// @returns whether an upstream is not in the list, and not only because its entry is on its way back
        virtual bool isUpstreamGone(const UpstreamId& upstream) const = 0;

        /// @returns the routes in force, or nullptr
        virtual const std::shared_ptr<const RouteTable>& getRoutes() const = 0;

        /// @returns the instances that are neither retired nor have been absent for some time
        virtual std::vector<FleetMember> listActiveMembers() const = 0;

        /// @returns an instance, or nothing when it is unknown
        virtual std::optional<FleetMember> findMember(const InstanceId& instance) const = 0;

        /// @returns whether the store recently answered this instance
        virtual bool isStoreReachable() const = 0;

        /// Reads the primary record from the store immediately.
        virtual void refreshPrimaryRecord() = 0;
    };

    struct Dependencies {
        EventLoop& loop;
        const Clock& clock;
        PeerRpc& peers;
        FailoverExecutor& executor;
        UpstreamCommander& commander;
        PrimaryRecordWriter& writer;
        InstanceId self;
    };

    FailoverCoordination(const Dependencies& dependencies, KnownState& state);

    /// Handles a primary to which this instance could not open a new connection.
    void onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary);

    /// Handles an upstream that showed a newer term than that of its group's recorded primary.
    void onNewerTerm(const GroupId& group, const UpstreamId& upstream, Term term);

    /// Handles the report of another instance that an upstream showed a newer term.
    void onNewerTermReport(const nlohmann::json& request, const PeerRpc::Responder& respond);

    /// Requests the replacement of primaries that are leaving or gone, and checks the roles of the others.
    /// Call it after the list of upstreams was read.
    void checkPrimaries();

    /// Resumes or takes over failovers that make no progress. Call it after the primary record was read.
    void checkStalledFailovers();

    /// A record was read or written.
    void onRecord(const PrimaryRecord& record) { this->rollCall.onRecord(record.absent, this->dependencies.clock.now()); }

    /// @returns when this instance first saw that the primary of a group is being replaced, or nothing
    std::optional<TimePoint> findChangingSince(const GroupId& group) const;

    /// @returns the response to an instance that considers a takeover: whether this one is waiting for acknowledged commits
    nlohmann::json makeProgressResponse(const nlohmann::json& request) const;

    /// Handles the report of another instance that it has lost a primary.
    void onSuspicionReport(const nlohmann::json& request, const PeerRpc::Responder& respond);

    /// @returns the response to a vote request: whether this instance has lost a primary as well
    nlohmann::json makeVoteResponse(const nlohmann::json& request);

    /// @returns the time since this instance last voted on a takeover, or since it started
    Duration getTimeSinceVote() const;

    /// @returns the delay of this instance's takeover attempt, which differs between instances
    Duration getTakeoverDelay() const;

private:
    /// Reports a primary that is lost or leaving to the coordinator.
    ///
    /// @param isLeaving whether the primary is leaving or gone
    void requestReplacement(const GroupId& group, const UpstreamId& primary, bool isLeaving);
    /// Decides as the coordinator whether to replace a primary, and starts the failover.
    void considerReplacement(const GroupId& group, const UpstreamId& primary, const InstanceId& reporter, bool isLeaving);
    /// Handles a coordinator that is unknown, does not respond, or does not accept the report.
    void onCoordinatorUnavailable(const GroupId& group, const UpstreamId& primary, bool isLeaving);
    void collectVotes(const GroupId& group, const UpstreamId& primary, std::function<void(const TakeoverVote& vote)> callback);
    /// Holds a vote. If this instance wins, it becomes the coordinator and starts the failover.
    void tryTakeover(const GroupId& group, const UpstreamId& primary, bool isLeaving);
    /// Takes over a stalled failover, unless its coordinator waits for an upstream that may hold acknowledged commits.
    void takeOverStalled(const GroupId& group, const UpstreamId& primary);
    /// Asks the other instances whether they run, as the coordinator that has too few reports of a lost primary.
    void requestPresence();
    /// Lists instances that have been silent for some time as absent in the primary record.
    void callRoll();
    bool isLeavingOrGone(const UpstreamId& primary) const;
    bool hasLostPrimary(const GroupId& group, const UpstreamId& primary) const;
    bool isCoordinator() const;
    /// @returns whether this instance is the coordinator and can carry out a failover
    bool canReplace() const;
    /// Handles a newer term as the coordinator.
    void considerNewerTerm(const GroupId& group, const UpstreamId& upstream, Term term);
    /// Asks, as the coordinator, upstreams whose role may differ from the primary record.
    void checkRoles();
    void onRoleReported(const UpstreamEntry& upstream, std::uint64_t generation, const ReplicationStatus& status);

    Dependencies dependencies;
    KnownState& state;
    SuspicionTracker suspicions;
    RollCall rollCall;
    bool isCallingRoll = false;
    TimePoint presenceRequestedAt;
    RoleMonitor roles;
    /// The groups for which a report of a newer term to the coordinator is pending.
    std::set<GroupId> groupsReporting;
    BootTime votedAt;
    /// For each group with a failover in progress, the epoch of its coordinator and when it was first seen.
    std::map<GroupId, std::pair<FencingToken, TimePoint>> changingSince;
    /// When each failover in progress was first seen, whoever coordinates it.
    std::map<GroupId, TimePoint> firstSeenChanging;
    std::set<GroupId> groupsVoting;
    /// When this instance last failed to connect to each primary.
    std::map<UpstreamId, TimePoint> unreachableAt;
};

} // namespace lentiljunction
