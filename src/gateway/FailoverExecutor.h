#pragma once

#include "../peer/PeerRpc.h"
#include "CommitProtection.h"
#include "OpenPromotionRemoval.h"
#include "PrimaryRecordWriter.h"
#include "PromotionCalls.h"
#include "UpstreamCommander.h"
#include "lentiljunction/audit/AuditTrail.h"
#include "lentiljunction/leadership/Failover.h"
#include "lentiljunction/leadership/LeaseTracker.h"
#include "lentiljunction/routes/UpstreamRegistry.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lentiljunction {

/// Carries out failovers while this instance is the failover coordinator.
///
/// @see Failover, which decides each step
///
/// Not thread-safe; the control thread owns it.
class FailoverExecutor {
public:
    /// The part of the control plane that the executor uses.
    class Context : public CommitProtection::KnownState {
    public:
        /// @returns the active instances
        virtual std::vector<FleetMember> listActiveMembers() const = 0;

        /// @returns whether this instance may act if it is the failover coordinator
        virtual bool mayAct() const = 0;

        /// @returns whether all leases of the previous era of the store have expired. Until then confirmations do not
        /// suffice, since an instance with such a lease may be missing from the list of instances.
        virtual bool haveEarlierLeasesExpired() const = 0;

        /// @returns whether an instance was retired so long ago that any lease of it has expired
        virtual bool isRetiredPastLease(const InstanceId& instance) const = 0;

        /// Calls back once the traffic thread uses the current primary record.
        virtual void confirmTrafficUpdate(std::function<void()> callback) = 0;

        /// Reads the list of upstreams from the store, linearizable.
        ///
        /// @param callback called once the list is in force, or could not be read
        virtual void refreshUpstreams(std::function<void(bool isRead)> callback) = 0;

        /// Adds a record to the audit trail.
        virtual void recordChange(AuditRecord record) = 0;
    };

    struct Dependencies {
        EventLoop& loop;
        const Clock& clock;
        FleetStore& store;
        PeerRpc& peers;
        PrimaryRecordWriter& writer;
        UpstreamCommander& commander;
        Context& context;
        InstanceId self;
    };

    explicit FailoverExecutor(const Dependencies& dependencies);

    /// Starts a failover, and makes this instance the failover coordinator if another one is.
    ///
    /// @param isPlanned whether the primary still works and is leaving
    /// @param cause the reason for the log and the audit trail
    void start(const GroupId& group, const UpstreamId& primary, bool isPlanned, const std::string& cause);

    /// Removes promotion calls from the record that have ended without an effect. Call it after the record was read.
    void removeEndedPromotions() { this->removal.check(); }

    /// @returns whether a failover of a group is in progress
    bool isActive(const GroupId& group) const { return this->runs.count(group) > 0; }

    /// Calls back once no promotion call is pending. A coordinator must wait for this before it hands over,
    /// since a late call could arrive after a call of the next coordinator.
    void runAfterPromotionCalls(std::function<void()> callback) { this->calls.runAfterPending(std::move(callback)); }

    /// @returns whether promotion calls have failed for so long that another instance should take over
    bool arePromotionsFailing() const { return this->calls.areFailing(); }

    /// @returns the number of promotion calls since the start, by outcome
    const std::map<std::string, std::uint64_t>& getNumPromotionCalls() const { return this->calls.getNumEnded(); }

    /// @returns whether a failover of a group is in progress that another coordinator would only delay
    ///
    /// @see Failover::isProgressing
    bool isProgressing(const GroupId& group) const;

    /// Lets the replicas of a group receive that a failover may have paused, where commits wait for them.
    void resumeReplicas(const GroupId& group) { this->protection.resumeReplicas(group); }

private:
    /// A failover in progress.
    struct Run {
        /// Distinguishes it from other failovers of the group, to which late responses must not be attributed.
        std::uint64_t number = 0;
        Failover failover;
        std::map<InstanceId, FleetMember> members;
        std::string cause;
        TimePoint startedAt;
        std::string lastLoggedStep;
        /// Whether a promotion call is pending or waits until it may be sent.
        bool isPromoting = false;
        /// Whether commits of the group wait for replicas.
        bool isSynchronous = false;
        /// Whether a command to the old primary is pending.
        bool isDemoting = false;
        /// Upstreams that were logged because they are the primary without a call of this run.
        std::set<UpstreamId> unrequested = {};
        /// The start on the clock that keeps running while the machine is suspended.
        BootTime startedAtBoot {};
    };

    /// Identifies one run in callbacks.
    struct RunKey {
        GroupId group;
        std::uint64_t number = 0;
    };

    void tick();
    void advance(const GroupId& group);
    void carryOut(Run& run, const Failover::Action& action);
    void writeChanging(Run& run);
    void writeStable(Run& run, const UpstreamId& primary);
    void requestConfirmations(Run& run);
    void requestConfirmation(const RunKey& key, const FleetMember& member);
    void requestStatus(const Run& run, const UpstreamId& upstream);
    void demoteOldPrimary(Run& run, const UpstreamId& upstream);
    void pauseReplica(const Run& run, const UpstreamId& upstream);
    void refreshUpstreams(const Run& run);
    void recordPromotion(const Run& run, const UpstreamId& upstream);
    void promote(Run& run, const UpstreamId& upstream);
    void sendPromotionCall(const RunKey& key, const UpstreamId& upstream);
    void onPromotionResponse(const RunKey& key, bool hasResponse, const Failure& failure);
    /// Logs an upstream that became the primary without a call of this run.
    void logUnrequested(Run& run, const UpstreamId& upstream, const ReplicationStatus& status) const;
    void recordChange(const Run& run, const ReplicationStatus& status);
    void notifyInstances(const Run& run);
    void abandon(const GroupId& group, const std::string& reason);
    bool isCoordinator() const;
    /// @returns whether the newest record lists a call of this instance, as the coordinator, for an upstream
    bool isPromotionRecorded(const GroupId& group, const UpstreamId& upstream) const;
    /// @returns whether a command of a failover may be sent to an upstream of its group
    bool mayCommand(const GroupId& group) const;
    /// @returns whether a promotion call ends before another instance can become the coordinator
    bool mayCall() const;
    nlohmann::json makePrimaryRecordMessage() const;
    Run* findRun(const GroupId& group);
    Run* findRun(const RunKey& key);
    std::vector<UpstreamId> listCandidates(const GroupId& group, const UpstreamId& primary) const;
    bool areAllLeaving(const std::vector<UpstreamId>& candidates) const;

    Dependencies dependencies;
    std::map<GroupId, Run> runs;
    std::uint64_t nextRunNumber = 0;
    PromotionCalls calls;
    CommitProtection protection;
    OpenPromotionRemoval removal;
    OneShotTimer timer;
};

} // namespace lentiljunction
