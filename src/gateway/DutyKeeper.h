#pragma once

#include "../peer/PeerRpc.h"
#include "FailoverDriver.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/leadership/SuspicionLedger.h"
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
/// @see FailoverDriver, which carries a replacement out
class DutyKeeper {
public:
    /// What the keeper needs to know, as the control plane believes it.
    class Beliefs {
    public:
        virtual ~Beliefs() = default;
        virtual const UpstreamList& getUpstreamList() const = 0;
        virtual const PermitBook& getPermits() const = 0;

        /// @returns the routes in force, or nullptr
        virtual const std::shared_ptr<const RouteTable>& getRoutes() const = 0;

        /// @returns the instances that are not retired
        virtual std::vector<FleetMember> listActiveMembers() const = 0;

        /// @returns an instance, or nothing when it is not known
        virtual std::optional<FleetMember> findMember(const InstanceId& instance) const = 0;

        /// @returns whether the store answered this instance a moment ago
        virtual bool hasStore() const = 0;

        /// Reads the lead record from the store now.
        virtual void refreshLead() = 0;
    };

    struct Parts {
        EventLoop& loop;
        const Clock& clock;
        PeerRpc& peers;
        FailoverDriver& failovers;
        InstanceId self;
    };

    DutyKeeper(const Parts& parts, Beliefs& beliefs);

    /// A fresh connection of this instance to a primary failed.
    void onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary);

    /// Looks for primaries that leave or are gone; call it when the list of upstreams was read.
    void checkLeaders();

    /// Looks for changes of primary that do not end; call it when the lead record was read.
    void checkStuckChanges();

    /// Another instance reports that it has lost a primary.
    void onSuspect(const nlohmann::json& question, const PeerRpc::Responder& respond);

    /// @returns whether this instance has lost a primary, as an answer to another instance
    nlohmann::json giveOpinion(const nlohmann::json& question) const;

private:
    void reportTrouble(const GroupId& group, const UpstreamId& primary, bool isLeaving);
    void consider(const GroupId& group, const UpstreamId& primary, const InstanceId& reporter, bool isLeaving);
    void onHolderSilent(const GroupId& group, const UpstreamId& primary, bool isLeaving);
    void holdVote(const GroupId& group, const UpstreamId& primary, std::function<void(const TakeoverVote& vote)> callback);
    void takeOver(const GroupId& group, const UpstreamId& primary, bool isLeaving);
    bool hasLost(const GroupId& group, const UpstreamId& primary) const;
    Duration getTakeoverDelay() const;

    Parts parts;
    Beliefs& beliefs;
    SuspicionLedger suspicions;
    /// A change under way, by the epoch of its holder.
    std::map<GroupId, std::pair<FencingToken, TimePoint>> changingSince;
    std::set<GroupId> votes;
    std::map<UpstreamId, TimePoint> unreachableAt;
};

} // namespace lentiljunction
