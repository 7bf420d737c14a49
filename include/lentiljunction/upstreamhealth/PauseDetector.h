#pragma once

#include "lentiljunction/core/Clock.h"

namespace lentiljunction {

/// Detects that this instance itself was paused, so that its own pause is not taken for a slow upstream.
///
/// A timer calls onTick() at a fixed interval. A late tick shows that the process did not run. A sample is also
/// unusable while the tick is overdue, because after a pause sockets may be served before timers.
///
/// Not thread-safe.
class PauseDetector {
public:
    /// @param interval the interval of the ticks
    /// @param tolerance how late a tick may be
    PauseDetector(Duration interval, Duration tolerance)
        : longestGap(interval + tolerance)
    {
    }

    void onTick(TimePoint now)
    {
        if (this->hasTicked && now - this->lastTick > this->longestGap)
            this->pauseEnd = now;
        this->hasTicked = true;
        this->lastTick = now;
    }

    /// @returns whether a measurement that started then and ends now contains a pause of this instance
    bool isAffected(TimePoint startedAt, TimePoint now) const
    {
        return this->hasTicked && (startedAt < this->pauseEnd || now - this->lastTick > this->longestGap);
    }

private:
    Duration longestGap;
    TimePoint lastTick;
    TimePoint pauseEnd;
    bool hasTicked = false;
};

} // namespace lentiljunction
