#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// Forecasts when a group will have a usable primary again.
///
/// A statement that needs the primary waits only if the forecast lies before its deadline; otherwise it
/// is refused at once. The forecast is a moving average of past failover gaps. A gap that exceeds the
/// average is treated as an outage and is expected to last as long again as it is overdue.
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
    Duration meanGap { std::chrono::milliseconds(900) };
};

} // namespace lentiljunction
