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

/// What the requests of a stream do.
enum class StreamKind {
    /// Reads without a token.
    Read,
    /// Reads in a form that is routed like a write, to the primary.
    PrimaryRead,
    /// Reads data of a stated age.
    BoundedStalenessRead,
    /// Books with an idempotency key, and repeats it until it has an response.
    KeyedWrite,
    /// Books without a key, once.
    PlainWrite,
    /// Books with a key, then reads the booking back through another instance with the token.
    WriteThenRead,
};

/// One kind of arrivals.
struct StreamPlan {
    std::string name;
    StreamKind kind = StreamKind::Read;
    Rank rank = Rank::Normal;
    double perSecond = 10;
    int deadlineMilliseconds = 1000;
    int maximumStalenessMilliseconds = 1000;
    /// Callers told apart by the fairness within a rank.
    int numCallers = 4;
    /// The callers' name, when streams are to share callers; the stream's name otherwise.
    std::string callers = "";
    /// When arrivals begin and end, from the start of the run.
    std::chrono::milliseconds begin { 0 };
    std::chrono::milliseconds end { 3600000 };
};

/// Something that is done during a run, for example a fault.
struct ScriptedStep {
    std::chrono::milliseconds at { 0 };
    std::function<void()> action;
};

/// One completed request.
struct Completion {
    /// When it was meant to arrive, from the start of the run.
    double arrivedMilliseconds = 0;
    /// From the meant arrival to the response, so that a stalled generator hides nothing.
    double latencyMilliseconds = 0;
};

/// What became of a stream.
struct StreamResult {
    std::uint64_t numArrived = 0;
    std::vector<Completion> completed;
    /// Final outcomes by name; "not_run" with the reason, as "not_run/queue_full".
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t numRetries = 0;
    /// Reads that did not show the booking just made by the same session.
    std::uint64_t numStaleReads = 0;

    /// @param fraction for example 0.99
    /// @returns the latency in milliseconds, over completions that arrived in the span
    double getPercentile(double fraction, double fromMilliseconds = 0, double toMilliseconds = 1e12) const;

    /// @returns the number of completions that arrived in the span
    std::uint64_t countCompleted(double fromMilliseconds, double toMilliseconds) const;

    /// @returns the longest time in milliseconds between two completions that follow each other
    double getLongestGap(double fromMilliseconds, double toMilliseconds) const;
};

/// What became of the bookings, checked against the database after the run.
struct BookingCheck {
    /// Whether every primary could be read; the counts mean nothing otherwise.
    bool isVerified = true;
    std::uint64_t numAcknowledged = 0;
    std::uint64_t numLost = 0;
    std::uint64_t numDuplicated = 0;
    /// Bookings answered not_run that are there all the same.
    std::uint64_t numExecutedThoughRefused = 0;
};

/// An open-loop load on all instances of a cluster.
///
/// @code
/// LoadGenerator load(cluster, { StreamPlan { "bookings", StreamKind::KeyedWrite } });
/// load.prepare();
/// load.run(std::chrono::seconds(10), {});
/// @endcode
class LoadGenerator {
public:
    /// @param cluster the cluster; must outlive this object
    /// @param streams the arrivals
    LoadGenerator(Cluster& cluster, std::vector<StreamPlan> streams);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator&) = delete;
    LoadGenerator& operator=(const LoadGenerator&) = delete;

    /// Makes the tables.
    ///
    /// @returns whether they are there
    bool prepare();

    /// Sends arrivals for a time, then waits for the answers. Blocks.
    void run(std::chrono::milliseconds duration, std::vector<ScriptedStep> steps);

    /// @returns the result of a stream
    const StreamResult& getResult(const std::string& stream) const;

    /// Compares the answers with what the primaries hold.
    BookingCheck checkBookings();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Sends one request over HTTP.
///
/// @returns the response, null when none came
nlohmann::json sendRequest(const InstanceNode& node, const nlohmann::json& request);

} // namespace lentiljunction::lab
