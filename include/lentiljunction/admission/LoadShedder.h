#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Rank.h"

namespace lentiljunction {

/// Refuses work when the instance itself is the bottleneck, starting with the least urgent rank.
///
/// Measures how late the timer of the traffic thread runs. Refusing work early is cheap, so the thread
/// catches up and urgent work is still served.
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

    /// Records that the timer fired.
    void onTick(TimePoint now);

    /// @returns whether a request of this rank must be refused now
    bool mustRefuse(Rank rank) const;

    /// @returns the moving average of the timer's delay
    Duration getDelay() const { return this->delay; }

private:
    Duration interval;
    TimePoint lastTick;
    Duration delay { 0 };
};

} // namespace lentiljunction
