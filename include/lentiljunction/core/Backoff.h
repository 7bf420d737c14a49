#pragma once

#include "lentiljunction/core/Clock.h"

#include <algorithm>

namespace lentiljunction {

/// The growing delay between attempts that fail: doubles from the first to the longest, and starts again after a
/// success.
///
/// Not thread-safe.
class Backoff {
public:
    Backoff(Duration first, Duration longest)
        : first(first)
        , longest(longest)
    {
    }

    /// @returns the delay before the next attempt, after one has failed
    Duration onFailure()
    {
        this->delay = std::clamp(this->delay * 2, this->first, this->longest);
        return this->delay;
    }

    /// Ends the series of failures.
    void onSuccess() { this->delay = Duration(0); }

private:
    Duration first;
    Duration longest;
    Duration delay { 0 };
};

} // namespace lentiljunction
