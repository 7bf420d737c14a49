#pragma once

#include "lentiljunction/core/Clock.h"

namespace lentiljunction {

/// How many statements one instance gives at one time to an upstream that other instances use too.
///
/// The others' statements cannot be seen, only felt: the upstream refuses what exceeds its queue, or
/// answers slowly because of it. So the limit grows by a step while it is reached and answers are
/// quick, and shrinks by a factor on refusals and slow answers; instances that share an upstream come
/// to shares of about one size. Single latencies vary with the work, so the mean decides.
///
/// Not thread-safe; one traffic thread owns it.
class SharedConcurrencyLimit {
public:
    /// @param slots the statements an upstream executes at one time, at least 1
    explicit SharedConcurrencyLimit(int slots);

    /// A statement was answered.
    ///
    /// @param latency from sending it to its answer
    /// @param numRunning the statements that ran when it was answered, itself included
    void onAnswered(Duration latency, int numRunning);

    /// The upstream had no room for a statement.
    void onRefused();

    /// @returns the limit, from 1 to some times the slots
    int getLimit() const { return static_cast<int>(this->limit); }

private:
    double maximum;
    double limit;
    Duration meanLatency { 0 };
};

} // namespace lentiljunction
