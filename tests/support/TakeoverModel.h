#pragma once

#include "lentiljunction/core/Random.h"
#include "lentiljunction/leadership/lj_leadership.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction::tests {

/// Simulates one failover that several coordinators carry out in turn: calls that take effect late, takeovers, coordinators that
/// stop for a while, and an upstream that becomes known meanwhile. Drives the real Failover; takes over like
/// FailoverCoordination.
class TakeoverModel {
public:
    struct Options {
        /// Whether commits of the group wait for a replica.
        bool isSynchronous = false;
        /// A successor does not know whom its predecessors called.
        bool choosesAnew = false;
        /// A call on its way does not count as progress.
        bool interruptsCalls = false;
        /// The upstream that is called first accepts each call and never leads.
        bool isFirstCalledInert = false;
        /// The first coordinator ends right after its first call, which has no effect.
        bool losesFirstCoordinator = false;
    };

    TakeoverModel(std::uint64_t seed, const Options& options);

    /// @returns the time until the record names a primary, or nothing when there is none within a minute
    std::optional<std::chrono::milliseconds> run();

    std::size_t getNumPromotions() const { return this->leadingTerm - 1; }

private:
    static constexpr std::size_t numInstances = 3;

    struct Upstream {
        bool isListed = true;
        bool isPrimary = false;
        std::uint64_t position = 0;
        std::uint64_t term = 1;
    };

    struct Call {
        std::string upstream;
        TimePoint effectAt;
    };

    struct Instance {
        std::optional<Failover> failover;
        std::vector<Failover::Action> waiting;
        std::pair<std::uint64_t, TimePoint> changingSince;
        bool isRunning = true;
    };

    std::vector<CommitSurvey::Member> listMembers() const;
    ReplicationStatus getStatus(const std::string& id) const;
    void start(std::size_t index);
    void advance(std::size_t index);
    void carryOut(std::size_t index, const Failover::Action& action);
    void call(std::size_t index, const Failover::Action& action);
    void considerTakeover(std::size_t index);
    bool isProgressing(const Instance& instance) const;
    void applyCalls();

    Options options;
    Random random;
    ManualClock clock;
    std::array<Instance, numInstances> instances;
    std::map<std::string, Upstream> upstreams;
    std::vector<Call> calls;
    /// The primary record.
    std::size_t coordinator = 0;
    std::uint64_t epoch = 0;
    std::vector<UpstreamId> recordedCalls;
    bool isStable = false;

    std::string firstCalled;
    std::chrono::milliseconds listedAfter;
    /// How long an upstream counts as one that may return.
    std::chrono::milliseconds lostUntil;
    TimePoint startedAt;
    /// When the former coordinator can act no more.
    TimePoint mayCallAt;
    TimePoint giveUpAt;
    std::uint64_t leadingTerm = 1;
};

} // namespace lentiljunction::tests
