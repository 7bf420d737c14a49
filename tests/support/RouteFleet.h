#pragma once

#include "../../src/gateway/RouteReceiver.h"
#include "../../src/gateway/RouteSender.h"
#include "../../src/peer/PendingRequests.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lentiljunction {

/// Instances of one availability zone that pass on the routing configuration over simulated links of limited bandwidth,
/// beside the small requests that they exchange all the time. The first instance reads the store for the others.
///
/// Each instance sends all that it sends over one uplink, which takes turns among its connections. What is queued on a
/// connection is lost with it.
class RouteFleet {
public:
    RouteFleet(std::size_t numInstances, std::size_t bytesPerSecond);
    ~RouteFleet();

    /// Puts a configuration in force at all instances at once.
    void start(const std::shared_ptr<const RouteTable>& table);

    /// Puts a configuration in force at the first instance.
    void publish(const std::shared_ptr<const RouteTable>& table);

    void run(Duration span);

    /// @returns whether all running instances have at least a version before the limit
    bool runUntilAllHave(BundleVersion version, Duration limit);

    /// The instance sends nothing any more.
    void stop(std::size_t index);

    /// @returns the bytes of transfers that all instances have sent since the start
    std::uint64_t countTransferBytes() const { return this->numTransferBytes; }

    /// @returns the longest time in which a small request was answered
    Duration getLongestResponse() const { return this->longestResponse; }

    std::size_t countLostLinks() const { return this->numLostLinks; }
    std::size_t countSmallFailures() const { return this->numSmallFailures; }

private:
    struct Instance;
    struct Packet;
    /// The instance that opened a connection, and the other one.
    using Connection = std::pair<std::size_t, std::size_t>;

    void step();
    void poll(Instance& instance);
    void askSmall(Instance& instance, std::size_t peer, Duration timeout);
    void ask(Instance& instance, std::size_t peer, const nlohmann::json& request, Duration timeout, bool isTransfer);
    void send(Instance& instance, Packet packet);
    void transmit(Instance& instance);
    void deliver(const Packet& packet);
    void expire(Instance& instance);
    void loseLink(Instance& instance, std::size_t peer);
    void fail(Instance& instance, std::uint64_t number);
    std::size_t findIndex(const Endpoint& endpoint) const;

    ManualClock clock;
    std::size_t bytesPerStep;
    std::vector<std::unique_ptr<Instance>> instances;
    std::deque<Packet> inFlight;
    std::uint64_t nextNumber = 1;
    std::uint64_t numTransferBytes = 0;
    Duration longestResponse { 0 };
    std::size_t numLostLinks = 0;
    std::size_t numSmallFailures = 0;
};

} // namespace lentiljunction
