#pragma once

#include "lentiljunction/core/Clock.h"

namespace lentiljunction {

/// Decides whether a read waits for a lagging replica or goes to the primary.
///
/// A read may wait a little longer than it would take at the primary, because this keeps load off the
/// primary. The expected wait is a moving average of recent waits.
///
/// Not thread-safe; one traffic thread owns it.
///
/// @code
/// if (estimate.isWaitWorthwhile(costAtPrimary))
///     waitUntil(arrivedAt + estimate.getMaximumWait(costAtPrimary));
/// @endcode
class CatchUpEstimate {
public:
    /// @param costAtPrimary the expected time of the read at the primary
    /// @returns whether the replica is expected to catch up soon enough
    bool isWaitWorthwhile(Duration costAtPrimary) const;

    /// @param costAtPrimary the expected time of the read at the primary
    /// @returns the longest time that a read waits for the replica
    Duration getMaximumWait(Duration costAtPrimary) const;

    /// Records that the replica caught up.
    void onCaughtUp(Duration waited);

    /// Records that the replica did not catch up in time.
    void onCatchUpTimeout(Duration waited);

    /// Records that a read went to the primary without waiting. This moves the estimate back towards its
    /// default, so that waiting is eventually tried again.
    void onWaitSkipped();

private:
    void addSample(Duration sample);

    Duration mean = std::chrono::milliseconds(10);
};

} // namespace lentiljunction
