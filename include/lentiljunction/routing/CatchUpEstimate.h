#pragma once

#include "lentiljunction/core/Clock.h"

namespace lentiljunction {

/// Whether a read waits for a replica that is behind, or goes to the primary.
///
/// Waiting is worth what the read would take at the primary, and a little more, because it spares
/// the primary. The time that reads waited lately tells what to expect.
///
/// Not thread-safe; one traffic thread owns it.
///
/// @code
/// if (estimate.isWaitWorthwhile(costAtPrimary))
///     waitUntil(arrivedAt + estimate.getMaximumWait(costAtPrimary));
/// @endcode
class CatchUpEstimate {
public:
    /// @param costAtPrimary what the read would take at the primary
    /// @returns whether the replica is expected to catch up soon enough
    bool isWaitWorthwhile(Duration costAtPrimary) const;

    /// @returns how long a read waits at most
    Duration getMaximumWait(Duration costAtPrimary) const;

    /// Notes that the replica caught up.
    void onCaughtUp(Duration waited);

    /// Notes that the replica did not catch up in time.
    void onCatchUpTimeout(Duration waited);

    /// Notes that a read was sent on without waiting, so that the estimate is tried again some day.
    void onWaitSkipped();

private:
    void blend(Duration sample);

    Duration mean = std::chrono::milliseconds(10);
};

} // namespace lentiljunction
