#pragma once

#include "lentiljunction/core/Random.h"
#include "lentiljunction/leadership/lj_leadership.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction::tests {

/// Simulates failovers of one group of three upstreams by three instances, with a linearizable store and a platform whose
/// promotion calls are lost, late, or carried out twice unless they are refused. Drives the real Failover, LeaseTracker, PrimaryView,
/// CoordinatorHandover and isPrimaryVerified(); carries out their actions like FailoverExecutor and PrimaryRecordWriter.
///
/// Each step is one event, so a coordinator can stop between any two of its actions. Not modelled: eras of the store,
/// groups whose commits wait for replicas, instances that are retired (all leases are waited for instead).
class PromotionModel {
public:
    static constexpr std::size_t numUpstreams = 3;
    static constexpr std::size_t numInstances = 3;

    /// What the model does differently from the program, to show that a guard is needed.
    struct Options {
        /// Instances do not see the open promotions of the record.
        bool hidesOpenPromotions = false;
        /// One refusal closes all calls for that upstream.
        bool closesRefusedCalls = false;
        /// A new announcement forgets the calls of former coordinators and of earlier failovers.
        bool forgetsEarlierCalls = false;
        /// An instance takes leases before it is registered.
        bool leasesBeforeRegistration = false;
        /// Calls without an answer take effect by applyOldestCall() only, within 7 s.
        bool appliesOnDemand = false;
        /// A lease counts again once the calls for other upstreams have ended.
        bool countsLeaseByTimeAlone = false;
        /// The coordinator removes calls that have ended without asking the upstreams.
        bool removesByTimeAlone = false;
        /// A failover removes calls that have ended.
        bool removesEndedInFailover = false;
        /// A primary that was replaced and leads again counts as never replaced.
        bool ignoresReturn = false;
        /// A former primary learns of a running successor within a second, so no partition hides it for longer.
        bool learnsWithinSecond = false;
    };

    PromotionModel(std::uint64_t seed, Options options);

    /// Executes random steps until a violation.
    void run(int numSteps);
    /// Ends all faults.
    /// @returns whether an upstream led and a write was acknowledged within 20 s
    bool recover();

    /// @returns the violation of rule ONE with the steps that led to it, or nothing
    const std::optional<std::string>& getViolation() const { return this->violation; }
    std::size_t getNumAcknowledged() const { return this->numAcknowledged; }
    std::size_t getNumPromotions() const { return this->greatestTerm - 1; }

    // Single steps; each returns whether it was possible.

    bool suspectPrimary(std::size_t instance);
    /// Resumes an unfinished failover, or takes it over from a silent coordinator.
    bool resumeFailover(std::size_t instance);
    /// Carries out the next action of an instance's failover.
    bool act(std::size_t instance);
    bool confirm(std::size_t coordinator, std::size_t instance);
    bool restartInstance(std::size_t instance, bool keepsId);
    bool registerInstance(std::size_t instance);
    bool sendRead(std::size_t instance);
    bool receiveRead(std::size_t instance);
    bool readFromPeer(std::size_t instance, std::size_t peer);
    bool crashUpstream(std::size_t upstream);
    bool restartUpstream(std::size_t upstream);
    /// An upstream learns of the newest primary.
    bool learnTerm(std::size_t upstream);
    /// The oldest promotion call takes effect, unless that was more than 7 s ago.
    bool applyOldestCall();
    bool sendWrite(std::size_t instance);
    /// Decides on the oldest answered write.
    bool acknowledgeWrite();
    /// As coordinator, removes the calls that can no longer take effect from the record.
    bool removeEndedPromotions(std::size_t instance);
    void advance(Duration step);
    /// All machines of the instances are suspended.
    void suspend(Duration span);

    /// The result of the next promotion calls.
    enum class CallResult {
        Random,
        Answered,
        InDoubt,
        /// The upstream does not run at this moment.
        Refused,
    };
    void setCallResult(CallResult result) { this->callResult = result; }
    void setStoreReliable(bool isReliable) { this->isStoreReliable = isReliable; }
    std::size_t getNumCalls() const { return this->numCalls; }
    bool hasRun(std::size_t instance) const { return this->instances[instance].run.has_value(); }

private:
    struct Upstream {
        bool isRunning = true;
        bool isPrimary = false;
        std::uint64_t term = 1;
        std::uint64_t position = 1;
        BootTime unawareSince;
    };

    struct Write {
        std::size_t instance;
        std::size_t process;
        PrimaryTenure tenure;
        std::uint64_t term;
        /// Whether another upstream led in a higher term when the write was committed.
        bool isReplaced;
    };

    struct PendingCall {
        std::size_t upstream;
        BootTime sentAt;
        BootTime effectAt;
        bool isAnswered;
    };

    /// A write of the primary record whose response was lost.
    struct RecordWrite {
        Failover::Action action;
        std::string nonce;
    };

    struct Run {
        Failover failover;
        std::deque<Failover::Action> actions;
        std::optional<RecordWrite> inDoubt;
        bool hasTimedOut = false;
        std::set<UpstreamId> refused = {};
    };

    struct Instance {
        InstanceId id;
        std::size_t process = 0;
        std::unique_ptr<LeaseTracker> leases;
        std::unique_ptr<CoordinatorHandover> handover;
        /// The newest known record, as the store holds it.
        VersionedPrimaryRecord known;
        std::optional<std::pair<BootTime, VersionedPrimaryRecord>> pendingRead;
        std::optional<Run> run;
        std::optional<std::pair<std::pair<FencingToken, std::uint64_t>, TimePoint>> changingSince;
        /// The status of the primary at the first verification of its tenure.
        std::optional<std::pair<PrimaryTenure, ReplicationStatus>> verified;
    };

    void startProcess(Instance& instance, const InstanceId& id);
    void offer(Instance& instance, const VersionedPrimaryRecord& versioned, BootTime sentAt, std::optional<Duration> remaining);
    void startFailover(Instance& instance, const PrimaryEntry& entry);
    void carryOut(Instance& instance, const Failover::Action& action);
    void writeRecord(Instance& instance, const Failover::Action& action);
    void readBack(Instance& instance);
    void onWritten(Instance& instance, const Failover::Action& action);
    bool change(const Instance& instance, const Failover::Action& action, PrimaryRecord& record) const;
    bool changeToChanging(const Instance& instance, PrimaryRecord& record) const;
    bool changeToStable(const Instance& instance, const UpstreamId& primary, PrimaryRecord& record) const;
    static UpstreamList listUpstreams();
    std::map<UpstreamId, std::optional<ReplicationStatus>> requestStatuses(const std::set<UpstreamId>& queried) const;
    bool mayPredateReturn(const Instance& instance, const Write& write) const;
    void promote(Instance& instance, const Failover::Action& action);
    void sendCall(Instance& instance, std::size_t upstream);
    void takeEffect(std::size_t upstream);
    void applyDueCalls();
    void advanceWorld();
    bool hasLease(const Instance& instance) const;
    bool verify(Instance& instance, const PrimaryTenure& tenure);
    void step();
    void stepUpstreams(std::uint64_t choice);
    void log(const std::string& text);
    std::optional<ReplicationStatus> requestStatus(std::size_t upstream) const;
    static std::size_t indexOf(const UpstreamId& id) { return id.toString().back() - '0'; }
    bool chance(std::uint64_t percent) { return this->random.below(100) < percent; }
    Duration milliseconds(std::uint64_t limit) { return std::chrono::milliseconds(this->random.below(limit)); }

    Random random;
    Options options;
    ManualClock clock;
    std::array<Upstream, numUpstreams> upstreams;
    std::array<Instance, numInstances> instances;
    VersionedPrimaryRecord store;
    std::set<InstanceId> registered;
    std::vector<PendingCall> calls;
    std::deque<Write> writes;
    std::vector<std::string> trace;
    std::optional<std::string> violation;
    CallResult callResult = CallResult::Random;
    bool isStoreReliable = false;
    std::uint64_t seed;
    std::uint64_t greatestTerm = 1;
    std::size_t platformPrimary = 0;
    std::size_t nextProcess = 0;
    std::size_t numAcknowledged = 0;
    std::size_t numCalls = 0;
};

} // namespace lentiljunction::tests
