#pragma once

#include "../../standins/database/SqlEngine.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/core/Scheduler.h"
#include "server/GateService.h"
#include "server/RequestFlow.h"

#include <map>
#include <memory>
#include <vector>

namespace lentiljunction::tests {

/// What may go wrong on a bench, each in percent of occasions.
struct BenchFaults {
    int lostHops = 0;
    int lostAnswers = 0;
    int repeatedAnswers = 0;
    int brokenConnections = 0;
    int silentConnections = 0;
    /// Whether the primary changes in the middle.
    bool changesPrimary = false;
};

/// The traffic side of three instances before one group of three engines, on a clock moved by hand.
///
/// RequestFlow, GateService and all below them are the real ones; the links, the connections and
/// the probes are small fakes that delay, lose, repeat and reorder.
class TrafficBench {
public:
    TrafficBench(std::uint64_t seed, BenchFaults faults);
    ~TrafficBench();
    TrafficBench(const TrafficBench&) = delete;
    TrafficBench& operator=(const TrafficBench&) = delete;

    /// Sends a request to an instance.
    void run(std::size_t instance, Request request, RequestFlow::AnswerHandler handler);

    /// Moves the clock.
    void advance(Duration span) { this->scheduler.advance(span); }

    /// Stops every fault and lets replication catch up.
    void calm();

    /// Makes the upstream with the greatest log head primary of a new term.
    void changePrimary();

    /// @returns how often a booking stands at the primary of the highest term
    int countAtPrimary(const std::string& booking);

    /// @returns how many idempotency keys the primary remembers
    int countKeys();

    /// @returns statements executed at one engine
    std::uint64_t getNumExecuted(std::size_t engine) const { return this->engines[engine]->getNumExecuted(); }

    /// Tells every gate, and the entries too if they are to know, that an upstream leaves.
    void setLeaving(std::size_t engine, bool areEntriesTold);

    ManualClock clock;
    ManualScheduler scheduler { clock };

private:
    class FakeConnection;
    class FakeConnector;
    struct Instance;

    void replicate();
    void probeAll();
    std::size_t findPrimary();
    bool chance(int percent) { return static_cast<int>(this->random.below(100)) < percent; }
    Duration drawDelay() { return std::chrono::microseconds(200 + this->random.below(6000)); }

    Random random;
    BenchFaults faults;
    std::shared_ptr<const Bundle> bundle;
    std::vector<UpstreamId> ids;
    std::vector<std::unique_ptr<standins::SqlEngine>> engines;
    std::unique_ptr<FakeConnector> connector;
    Metrics metrics;
    std::vector<std::unique_ptr<Instance>> instances;
    Term highest { 1 };
};

/// @returns a request for a booking
Request makeBookingRequest(const std::string& id, bool isKeyed);

/// @returns a request that counts a booking
Request makeCountRequest(const std::string& id, const std::string& session);

} // namespace lentiljunction::tests
