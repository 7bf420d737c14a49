#pragma once

#include "../peer/PeerExchange.h"
#include "FailoverExecutor.h"
#include "lentiljunction/fleet/FleetStore.h"
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

/// Decides together with the other instances when a primary is replaced, and by whom.
///
/// Reports go to the holder of the duty, which replaces a primary that a share of the instances has
/// lost, or that leaves. A holder that does not take a report is replaced itself, after a vote.
///
/// Runs on the control thread.
///
/// @see FailoverExecutor, which carries a replacement out
class FailoverCoordination {
public:
    /// What the keeper needs to know, as the control plane believes it.
    class KnownState {
    public:
        virtual ~KnownState() = default;
        virtual const UpstreamList& getUpstreamList() const = 0;
        virtual const LeaseTracker& getLeaseTracker() const = 0;

        /// @returns the routes in force, or nullptr
        virtual const std::shared_ptr<const RouteTable>& getRoutes() const = 0;

        /// @returns the instances that are not retired
        virtual std::vector<FleetMember> listActiveMembers() const = 0;

        /// @returns an instance, or nothing when it is not known
        virtual std::optional<FleetMember> findMember(const InstanceId& instance) const = 0;

        /// @returns whether the store answered this instance a moment ago
        virtual bool isStoreReachable() const = 0;

        /// Reads the lead record from the store now.
        virtual void refreshPrimaryRecord() = 0;
    };

    struct Dependencies {
        EventLoop& loop;
        const Clock& clock;
        PeerExchange& peers;
        FailoverExecutor& executor;
        InstanceId self;
    };

    FailoverCoordination(const Dependencies& dependencies, KnownState& state);

    /// A fresh connection of this instance to a primary failed.
    void onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary);

    /// Looks for primaries that leave or are gone; call it when the list of upstreams was read.
    void checkPrimaries();

    /// Looks for changes of primary that do not end; call it when the lead record was read.
    void checkStalledFailovers();

    /// Another instance reports that it has lost a primary.
    void onSuspicionReport(const nlohmann::json& request, const PeerExchange::Responder& respond);

    /// @returns whether this instance has lost a primary, as an answer to another instance
    nlohmann::json makeVoteResponse(const nlohmann::json& request) const;

private:
    void requestReplacement(const GroupId& group, const UpstreamId& primary, bool isLeaving);
    void considerReplacement(const GroupId& group, const UpstreamId& primary, const InstanceId& reporter, bool isLeaving);
    void onCoordinatorSilent(const GroupId& group, const UpstreamId& primary, bool isLeaving);
    void collectVotes(const GroupId& group, const UpstreamId& primary, std::function<void(const TakeoverVote& vote)> callback);
    void tryTakeover(const GroupId& group, const UpstreamId& primary, bool isLeaving);
    bool hasLostPrimary(const GroupId& group, const UpstreamId& primary) const;
    Duration getTakeoverDelay() const;

    Dependencies dependencies;
    KnownState& state;
    SuspicionTracker suspicions;
    /// A change under way, by the epoch of its holder.
    std::map<GroupId, std::pair<FencingToken, TimePoint>> changingSince;
    std::set<GroupId> groupsVoting;
    std::map<UpstreamId, TimePoint> unreachableAt;
};

} // namespace lentiljunction
