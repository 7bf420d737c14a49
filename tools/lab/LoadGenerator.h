#pragma once

#include "Cluster.h"
#include "lentiljunction/core/Rank.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// The kind of request that a stream sends.
enum class StreamKind {
    /// Read without a session token.
    Read,
    /// Read in a form of SQL that is routed like a write, to the primary.
    PrimaryRead,
    /// Read with a maximum staleness.
    BoundedStalenessRead,
    /// Booking with an idempotency key, retried until it is completed or rejected.
    KeyedWrite,
    /// Booking without a key, sent once.
    PlainWrite,
    /// Booking with a key, then a read of the booking through another instance with the session token.
    WriteThenRead,
};

/// A stream of requests at a fixed rate.
struct StreamPlan {
    std::string name;
    StreamKind kind = StreamKind::Read;
    Rank rank = Rank::Normal;
    /// Request rate; requests are sent on schedule whether or not earlier ones have a response.
    double perSecond = 10;
    int deadlineMilliseconds = 1000;
    int maximumStalenessMilliseconds = 1000;
    /// Number of caller names, which the fair queue within a rank keeps apart.
    int numCallers = 4;
    /// Prefix of the caller names. Streams with the same prefix share callers; empty means the stream's name.
    std::string callers = "";
    /// First and last scheduled request, from the start of the run.
    std::chrono::milliseconds begin { 0 };
    std::chrono::milliseconds end { 3600000 };
};

/// An action at a set time of a run, for example a fault.
struct ScriptedStep {
    /// From the start of the run.
    std::chrono::milliseconds at { 0 };
    std::function<void()> action;
};

/// One completed request.
struct Completion {
    /// Scheduled send time, from the start of the run.
    double scheduledMilliseconds = 0;
    /// From the scheduled send time to the response, so that a stall of the generator counts as latency
    /// (no coordinated omission).
    double latencyMilliseconds = 0;
};

/// Results of a stream.
struct StreamResult {
    std::uint64_t numArrived = 0;
    std::vector<Completion> completed;
    /// Number of requests by final outcome; "not_run" is followed by the reason, as in "not_run/queue_full".
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t numRetries = 0;
    /// Reads that did not return the booking that the same session had made before.
    std::uint64_t numStaleReads = 0;

    /// @param fraction for example 0.99
    /// @returns the latency in milliseconds at that fraction of the completed requests that were scheduled in
    /// the interval, 0 when there are none
    double getPercentile(double fraction, double fromMilliseconds = 0, double toMilliseconds = 1e12) const;

    /// @returns the number of completed requests that were scheduled in the interval
    std::uint64_t countCompleted(double fromMilliseconds, double toMilliseconds) const;

    /// @returns the longest time in milliseconds without a completion in the interval
    double getLongestGap(double fromMilliseconds, double toMilliseconds) const;
};

/// Result of comparing the responses with the rows in the databases after a run.
struct BookingCheck {
    /// Whether every primary could be read; the counts are meaningless otherwise.
    bool isVerified = true;
    /// Why the last attempt to read a primary failed.
    Failure failure;
    std::uint64_t numAcknowledged = 0;
    /// Acknowledged bookings without a row.
    std::uint64_t numLost = 0;
    /// Bookings with more than one row.
    std::uint64_t numDuplicated = 0;
    /// Bookings that have a row although every response was not_run.
    std::uint64_t numExecutedThoughRefused = 0;
};

/// Sends requests to all instances of a cluster at fixed rates (open loop).
///
/// @code
/// LoadGenerator load(cluster, { StreamPlan { "bookings", StreamKind::KeyedWrite } });
/// load.prepare();
/// load.run(std::chrono::seconds(10), {});
/// @endcode
class LoadGenerator {
public:
    /// @param cluster the cluster; must outlive this object
    /// @param streams the streams to send
    LoadGenerator(Cluster& cluster, std::vector<StreamPlan> streams);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator&) = delete;
    LoadGenerator& operator=(const LoadGenerator&) = delete;

    /// Creates the tables that the bookings need.
    ///
    /// @returns whether the tables of all databases exist
    bool prepare();

    /// Sends requests for the duration, then waits for the outstanding responses. Blocks.
    ///
    /// @param steps actions to run on the calling thread
    void run(std::chrono::milliseconds duration, std::vector<ScriptedStep> steps);

    /// @returns the results of a stream, by its name
    const StreamResult& getResult(const std::string& stream) const;

    /// Compares the responses with the rows at the primaries.
    BookingCheck checkBookings();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Sends one request over HTTP.
///
/// @returns the response, null when there was none
nlohmann::json sendRequest(const InstanceNode& node, const nlohmann::json& request);

} // namespace lentiljunction::lab
