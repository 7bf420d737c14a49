#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Rank.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentiljunction {

/// The metrics of one gateway instance. Every method is safe to call from any thread.
///
/// Counters and histograms grow as things happen. Gauges show a moment, so they are set just before the
/// page is rendered.
///
/// @code
/// metrics.setBeliefs(beliefs);
/// respond({ 200, "text/plain", metrics.render() });
/// @endcode
/// @see docs/operating/metrics.md
class GatewayMetrics {
public:
    /// What is counted of a statement.
    struct Statement {
        /// The consistency of the route.
        std::string kind;
        Rank rank = Rank::Normal;
        /// What the caller was told.
        std::string code;
        /// The upstream that was asked last; empty when none was.
        std::string upstream;
        /// Why it did not succeed.
        std::string cause;
        bool isSuccess = false;
        int numRetries = 0;
        /// From the first byte to the answer.
        Duration total { 0 };
    };

    /// What an instance believes, at one moment.
    struct Beliefs {
        std::uint64_t routesVersion = 0;
        std::uint64_t primaryRevision = 0;
        std::uint64_t epoch = 0;
        bool isFailoverCoordinator = false;
        /// Until primaries may not be used any more; zero when that has passed.
        Duration lease { 0 };
        std::size_t numInstances = 0;
        std::size_t numUpstreams = 0;
        /// Payload sent to other instances since the start.
        std::uint64_t numPeerBytes = 0;
    };

    /// What an instance knows of one upstream, at one moment.
    struct Upstream {
        std::string id;
        std::string group;
        bool isInOwnZone = false;
        std::size_t numConnections = 0;
        std::size_t numRunning = 0;
        std::size_t numWaiting = 0;
        Duration latency { 0 };
        /// Positions from what it last told to the newest proved head of its group.
        std::uint64_t lag = 0;
        /// Sent to it and received from it since the start.
        std::uint64_t numBytes = 0;
    };

    GatewayMetrics();
    ~GatewayMetrics();
    GatewayMetrics(const GatewayMetrics&) = delete;
    GatewayMetrics& operator=(const GatewayMetrics&) = delete;

    /// Counts a statement that was answered.
    void onStatement(const Statement& statement);

    /// Counts a statement that was refused without asking an upstream.
    void onRefusedLocally(const std::string& cause);

    /// Counts a call to what the instances share.
    ///
    /// @param result "done", "refused" or "unanswered"
    void onStoreCall(const std::string& operation, const std::string& result, Duration took);

    /// Sets the gauges of what this instance believes.
    void setBeliefs(const Beliefs& beliefs);

    /// Sets the gauges of all upstreams; those that are not listed any more are taken out.
    void setUpstreams(const std::vector<Upstream>& upstreams);

    /// Sets the age of the newest proof of each group's log; groups that are not listed are taken out.
    void setFreshnessProofAges(const std::map<std::string, Duration>& ages);

    /// @returns all metrics in the Prometheus text format
    std::string render() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
