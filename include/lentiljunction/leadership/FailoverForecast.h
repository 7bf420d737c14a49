#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// Forecasts when a group will have a usable primary again.
///
/// Whoever asks for the primary meanwhile waits only if it can still be served in time, and is refused
/// at once otherwise. The forecast is the mean of the gaps that were seen; a gap that is longer is an
/// outage, of which nothing is known but that it lasts.
///
/// Not thread-safe; the traffic thread owns it.
class FailoverForecast {
public:
    /// The primary of a group cannot be used from now on.
    void onPrimaryLost(const GroupId& group, TimePoint now);

    /// The group has a usable primary.
    void onPrimaryUsable(const GroupId& group, TimePoint now);

    /// @returns when the primary is expected back, or nothing when it is not missing
    std::optional<TimePoint> getExpectedReturn(const GroupId& group, TimePoint now) const;

private:
    std::map<GroupId, TimePoint> lostSince;
    Duration meanGap { std::chrono::milliseconds(900) };
};

} // namespace lentiljunction
