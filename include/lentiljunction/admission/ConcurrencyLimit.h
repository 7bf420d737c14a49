#pragma once

#include "lentiljunction/core/Clock.h"

namespace lentiljunction {

/// Limits the number of statements in flight at an upstream.
///
/// Starts at the upstream's number of slots. While latency stays near its minimum, the limit grows
/// somewhat beyond the slots, so that a slot does not idle while a result is in transit. When latency
/// doubles, the limit shrinks.
///
/// Not thread-safe; one traffic thread owns it.
class ConcurrencyLimit {
public:
    /// @param slots the number of statements that the upstream executes concurrently, at least 1
    explicit ConcurrencyLimit(int slots);

    /// @param latency the time from sending a statement to receiving its answer
    /// @param numRunning the number of statements in flight when it was sent, including itself
    void onSample(Duration latency, int numRunning);

    /// @returns the limit, from 1 to twice the slots
    int getLimit() const { return static_cast<int>(this->limit); }

private:
    int slots;
    double limit;
    Duration bestLatency { 0 };
};

} // namespace lentiljunction
