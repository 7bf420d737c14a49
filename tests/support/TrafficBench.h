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

/// The faults that a bench injects, each as the percentage of affected messages, batches or connections.
struct BenchFaults {
    int lostHops = 0;
    int lostAnswers = 0;
    int repeatedAnswers = 0;
    int brokenConnections = 0;
    int silentConnections = 0;
    /// Whether the primary changes halfway.
    bool changesPrimary = false;
};

/// The request handling of three instances in front of one group of three database engines, on a manual clock.
///
/// RequestFlow, GateService and the classes that they use are the production ones. The links between
/// instances, the connections and the probes are fakes that delay, lose, repeat and reorder messages.
class TrafficBench {
public:
    TrafficBench(std::uint64_t seed, BenchFaults faults);
    ~TrafficBench();
    TrafficBench(const TrafficBench&) = delete;
    TrafficBench& operator=(const TrafficBench&) = delete;

    /// Sends a request to an instance.
    void run(std::size_t instance, Request request, RequestFlow::ResponseHandler handler);

    /// Advances the clock.
    void advance(Duration span) { this->scheduler.advance(span); }

    /// Stops all faults and lets replication catch up.
    void stopFaults();

    /// Promotes the reachable upstream with the highest log head to primary of a new term.
    void changePrimary();

    /// @returns how often a booking is stored at the primary of the highest term
    int countAtPrimary(const std::string& booking);

    /// @returns the number of idempotency keys stored at the primary
    int countKeys();

    /// @returns the number of statements executed by one engine
    std::uint64_t getNumExecuted(std::size_t engine) const { return this->engines[engine]->getNumExecuted(); }

    /// Marks an upstream as leaving at every gate and, if wanted, at the entry instances.
    void setLeaving(std::size_t engine, bool areEntryInstancesNotified);

    ManualClock clock;
    ManualScheduler scheduler { clock };

private:
    class FakeConnection;
    class FakeConnector;
    struct Instance;

    void replicate();
    void probeAll();
    std::size_t findPrimary();
    bool isDrawn(int percent) { return static_cast<int>(this->random.below(100)) < percent; }
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

/// @returns a request that stores a booking
Request makeBookingRequest(const std::string& id, bool isKeyed);

/// @returns a request that counts a booking
Request makeCountRequest(const std::string& id, const std::string& session);

} // namespace lentiljunction::tests
