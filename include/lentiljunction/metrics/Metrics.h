#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Outcome.h"
#include "lentiljunction/core/Rank.h"

#include <memory>
#include <string>

namespace lentiljunction {

/// The metrics of one instance. Every method is safe to call from any thread.
///
/// @see docs/operating/metrics.md
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Counts a request that received a response.
    ///
    /// @param total time from the request's arrival to its response
    void onAnswered(Rank rank, const Outcome& outcome, Duration total);

    /// Counts a read that a replica served.
    void onReplicaRead();

    /// @param cause why the primary served a read
    void onPrimaryRead(const std::string& cause);

    /// Records how long a request waited in a gate's queue.
    void onQueueWait(Rank rank, Duration wait);

    /// Records how long a write waited for its confirmation.
    void onConfirmation(Duration wait);

    /// Counts a call to the platform's store.
    void onStoreCall(const std::string& operation, bool isAnswered);

    /// Counts a promotion that this instance carried out.
    void onPromotion(bool isDone);

    /// Counts a retry inside the service.
    void onRetry();

    /// Counts a connection that was closed because its state was unknown.
    void onConnectionDiscarded();

    /// Sets the bundle version in force.
    void setBundleVersion(double version);

    /// Sets the number of requests in flight.
    void setInFlight(double number);

    /// Sets the number of bytes sent to peers as control messages.
    void setControlBytes(double bytes);

    /// @returns all metrics in the Prometheus text format
    std::string render() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
