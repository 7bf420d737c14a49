#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/core/Rank.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// The metrics of one gateway instance. Every method is safe to call from any thread.
///
/// Counters and histograms are updated on each event. Gauges show the current state, so they are set just
/// before the metrics are rendered.
///
/// @code
/// metrics.setKnownState(knownState);
/// respond({ 200, "text/plain", metrics.render() });
/// @endcode
/// @see docs/operating/metrics.md
class GatewayMetrics {
public:
    /// The result of one statement.
    struct Statement {
        /// The consistency level of the route.
        std::string kind;
        Rank rank = Rank::Normal;
        /// The outcome code that the caller received.
        std::string code;
        /// The upstream of the last attempt; empty when the statement was sent to none.
        std::string upstream;
        /// The failure cause.
        std::string cause;
        bool isSuccess = false;
        int numRetries = 0;
        /// Time from the first byte of the statement to its response.
        Duration total { 0 };
        /// On what an acknowledged write rests; empty for other statements.
        std::string basis = {};
    };

    /// The state known to an instance at one moment.
    struct KnownState {
        std::uint64_t routesVersion = 0;
        /// The revision of the store from which the routes are watched.
        std::uint64_t routesRevision = 0;
        /// Time since the routes were last proven to be the newest ones; nothing before the first proof.
        std::optional<Duration> routesProofAge = std::nullopt;
        /// The newest era of the store.
        std::uint64_t storeEra = 0;
        std::uint64_t primaryRevision = 0;
        /// The era in which the known primary record was read.
        std::uint64_t primaryRecordEra = 0;
        std::uint64_t epoch = 0;
        bool isFailoverCoordinator = false;
        /// The remaining time of the lease on the primary record; zero when it has expired.
        Duration lease { 0 };
        std::size_t numInstances = 0;
        std::size_t numUpstreams = 0;
        /// Payload bytes sent to other instances since the start.
        std::uint64_t numPeerBytes = 0;
        /// Bytes of responses that wait for other instances to receive them.
        std::uint64_t numPeerBytesQueued = 0;
        /// Bytes of the routing configuration received from the store since the start.
        std::uint64_t numRouteBytesRead = 0;
        /// Listening ports that are not open yet.
        std::size_t numClosedPorts = 0;
        /// Handlers that threw an exception since the start.
        std::uint64_t numHandlerFailures = 0;
        /// Promotion calls since the start, by outcome.
        std::map<std::string, std::uint64_t> numPromotionCalls = {};
    };

    /// How many concurrent statements of this instance an upstream handles well, as discovered.
    struct Capacity {
        double limit = 0;
        /// Answers on which the estimate is based.
        std::size_t numSamples = 0;
        /// Time since the last of them.
        Duration age { 0 };
    };

    /// The state of one upstream, as known to the instance at one moment.
    struct Upstream {
        std::string id;
        std::string group;
        bool isInOwnZone = false;
        std::size_t numConnections = 0;
        std::size_t numRunning = 0;
        std::size_t numWaiting = 0;
        Duration latency { 0 };
        /// Log positions between the upstream's last reported head and the newest proved head of its group.
        std::uint64_t lag = 0;
        /// Bytes sent to and received from the upstream since the start.
        std::uint64_t numBytes = 0;
        /// Connections opened since the start.
        std::uint64_t numOpened = 0;
        /// Idle connections closed since the start to make room for one of another workspace.
        std::uint64_t numReplaced = 0;
        /// Requests that were granted a connection since the start.
        std::uint64_t numGrants = 0;
        /// Those of them that found an idle connection when they arrived.
        std::uint64_t numGrantsOfIdle = 0;
        /// Whether reads avoid the upstream because it failed much of its work.
        bool isEjected = false;
        /// The discovered number of concurrent statements, with its evidence; empty when it is not discovered.
        std::optional<Capacity> capacity = std::nullopt;
    };

    GatewayMetrics();
    ~GatewayMetrics();
    GatewayMetrics(const GatewayMetrics&) = delete;
    GatewayMetrics& operator=(const GatewayMetrics&) = delete;

    /// Counts a statement that received a response.
    void onStatement(const Statement& statement);

    /// Counts a statement that was refused without being sent to an upstream.
    void onRefusedLocally(const std::string& cause);

    /// Counts a caller's key that was not accepted.
    ///
    /// @param reason "unknown" or "unconfirmed"
    void onKeyRefused(const std::string& reason);

    /// Counts a call to the store that the instances share.
    ///
    /// @param result "done", "refused" or "unanswered"
    void onStoreCall(const std::string& operation, const std::string& result, Duration took);

    /// Sets the gauges of this instance's known state.
    void setKnownState(const KnownState& knownState);

    /// Sets the gauges of all upstreams and removes those of upstreams that are not listed.
    void setUpstreams(const std::vector<Upstream>& upstreams);

    /// Sets the gauges of the connections lent to and borrowed from other instances.
    void setLoans(std::size_t numLent, std::size_t numBorrowed);

    /// Finished verifications of a group's primary since the start.
    struct Verifications {
        std::uint64_t numPassed = 0;
        std::uint64_t numFailed = 0;
    };

    /// Sets the gauges of the verifications of each group.
    void setVerifications(const std::map<GroupId, Verifications>& verifications);

    /// Decisions on the limits of workspaces.
    struct Quota {
        std::uint64_t numAdmitted = 0;
        std::uint64_t numRefused = 0;
        std::uint64_t numUndecided = 0;
        std::size_t numWaiting = 0;
        std::size_t numGiven = 0;
        std::size_t numReceived = 0;
        /// Refused operations, by workspace.
        std::map<std::string, std::uint64_t> numRefusedOf;
    };

    /// Sets the gauges of the decisions on limits.
    void setQuota(const Quota& quota);

    /// Sets the age of the newest freshness proof of each group and removes groups that are not listed.
    void setFreshnessProofAges(const std::map<std::string, Duration>& ages);

    /// @returns all metrics in the Prometheus text format
    std::string render() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
