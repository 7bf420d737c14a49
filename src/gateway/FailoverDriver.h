#pragma once

#include "../peer/PeerRpc.h"
#include "LeadWriter.h"
#include "UpstreamCommander.h"
#include "lentiljunction/audit/AuditTrail.h"
#include "lentiljunction/leadership/Failover.h"
#include "lentiljunction/leadership/PermitBook.h"
#include "lentiljunction/routes/UpstreamKeeper.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lentiljunction {

/// Carries out the replacements of primaries for which this instance holds the duty.
///
/// @see Failover, which decides each step
///
/// Runs on the control thread.
class FailoverDriver {
public:
    /// What the driver needs of the control plane.
    class Surroundings {
    public:
        virtual ~Surroundings() = default;

        /// @returns the upstreams that are known
        virtual const UpstreamList& getUpstreamList() const = 0;
        virtual const PermitBook& getPermits() const = 0;

        /// @returns whether this instance may act on the duty if it holds it
        virtual bool mayAct() const = 0;

        /// @returns whether an instance is retired for so long that no permit of it can be left
        virtual bool isLongRetired(const InstanceId& instance) const = 0;

        /// Calls back once the traffic thread goes by the belief in force.
        virtual void confirmTraffic(std::function<void()> callback) = 0;

        /// Puts a change into the audit trail.
        virtual void recordChange(AuditRecord record) = 0;
    };

    struct Parts {
        EventLoop& loop;
        const Clock& clock;
        FleetStore& store;
        PeerRpc& peers;
        LeadWriter& writer;
        UpstreamCommander& commander;
        Surroundings& surroundings;
        InstanceId self;
    };

    explicit FailoverDriver(const Parts& parts);

    /// Replaces a primary, taking the duty over if another instance holds it.
    ///
    /// @param isPlanned whether the primary still works and leaves in order
    void start(const GroupId& group, const UpstreamId& primary, bool isPlanned, const std::string& cause);

    /// @returns whether a replacement is under way in a group
    bool isActive(const GroupId& group) const { return this->runs.count(group) > 0; }

    /// Calls back once no promotion call is under way. Whoever gives the duty up to another instance
    /// must not have a call on its way that could arrive after the other's.
    void whenCallsEnded(std::function<void()> callback);

    /// @returns whether promotion calls have failed for so long that another instance should try
    bool isUnfit() const;

private:
    struct Run {
        Failover failover;
        std::map<InstanceId, FleetMember> members;
        std::string cause;
        TimePoint began;
        std::string lastStep;
        bool isPromoting = false;
    };

    void tick();
    void advance(const GroupId& group);
    void carryOut(Run& run, const Failover::Action& action);
    void writeChanging(Run& run);
    void writeStable(Run& run, const UpstreamId& primary);
    void askInstances(Run& run);
    void askInstance(const GroupId& group, const FleetMember& member);
    void askStatus(const GroupId& group, const UpstreamId& upstream);
    void demoteOld(const GroupId& group, const UpstreamId& upstream);
    void promote(Run& run, const UpstreamId& upstream);
    void callPromote(const GroupId& group, const UpstreamId& upstream);
    void onPromoted(const GroupId& group, bool isAnswered, const Failure& failure);
    void onCallEnded(bool isAnswered);
    void recordChange(const Run& run, const LeadStatus& status);
    void tellAll(const Run& run);
    void abandon(const GroupId& group, const std::string& reason);
    bool isHolder() const;
    nlohmann::json makeLeadMessage() const;
    Run* find(const GroupId& group);
    std::vector<UpstreamId> listCandidates(const GroupId& group, const UpstreamId& primary) const;

    Parts parts;
    std::map<GroupId, Run> runs;
    std::size_t numCalls = 0;
    std::vector<std::function<void()>> waitingForCalls;
    /// Since when promotion calls get no answer.
    std::optional<TimePoint> failingSince;
    OneShotTimer timer;
};

} // namespace lentiljunction
