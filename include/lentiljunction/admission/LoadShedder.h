#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Rank.h"

namespace lentiljunction {

/// Refuses work when the instance itself is the bottleneck, the least urgent first.
///
/// Measures how late the traffic thread's own timer runs. Work that is refused early costs little,
/// so the thread catches up and urgent work keeps its service.
///
/// Not thread-safe; the traffic thread owns it.
///
/// @code
/// shedder.onTick(clock.now()); // from a timer
/// if (shedder.mustRefuse(request.rank))
///     refuse(request);
/// @endcode
class LoadShedder {
public:
    /// @param interval the interval of the timer
    explicit LoadShedder(Duration interval);

    /// Notes that the timer ran.
    void onTick(TimePoint now);

    /// @returns whether a request of this rank must be refused now
    bool mustRefuse(Rank rank) const;

    /// @returns how late the timer runs, smoothed
    Duration getDelay() const { return this->delay; }

private:
    Duration interval;
    TimePoint lastTick;
    Duration delay { 0 };
};

} // namespace lentiljunction
