#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// Forecasts when a group will have a usable primary again.
///
/// A statement that needs the primary waits only if the forecast lies before its deadline; otherwise it
/// is refused at once. A gap is the time for which a group has no usable primary. The forecast is a moving
/// average of the gaps of past failovers. A gap that exceeds this average is treated as an outage, and its
/// remaining time is expected to equal the time by which it has exceeded the average.
///
/// Not thread-safe; the traffic thread owns it.
class FailoverForecast {
public:
    /// Records that the primary of a group became unusable.
    void onPrimaryLost(const GroupId& group, TimePoint now);

    /// Records that the group has a usable primary again.
    void onPrimaryUsable(const GroupId& group, TimePoint now);

    /// @returns when a usable primary is expected, or nothing when the group has one
    std::optional<TimePoint> getExpectedReturn(const GroupId& group, TimePoint now) const;

private:
    std::map<GroupId, TimePoint> lostSince;
    /// Moving average over all groups.
    Duration meanGap { std::chrono::milliseconds(900) };
};

} // namespace lentiljunction
