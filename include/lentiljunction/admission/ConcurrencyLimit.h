#pragma once

#include "lentiljunction/core/Clock.h"

namespace lentiljunction {

/// How many statements an upstream is given at one time.
///
/// Starts at the upstream's slots. While latency stays near its best, the limit grows a little
/// past the slots, so that a slot does not idle for the time a result travels. When latency
/// doubles, the limit shrinks.
///
/// Not thread-safe; one traffic thread owns it.
class ConcurrencyLimit {
public:
    /// @param slots the statements an upstream executes at one time, at least 1
    explicit ConcurrencyLimit(int slots);

    /// @param latency from sending a statement to its answer
    /// @param numRunning the statements that ran when it was sent, itself included
    void onSample(Duration latency, int numRunning);

    /// @returns the limit, from 1 to twice the slots
    int getLimit() const { return static_cast<int>(this->limit); }

private:
    int slots;
    double limit;
    Duration bestLatency { 0 };
};

} // namespace lentiljunction
