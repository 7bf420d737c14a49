#include "lentiljunction/leadership/FailoverForecast.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    constexpr double newestGapWeight = 0.3;
    /// A longer gap was a network partition or an outage and does not predict the next failover.
    constexpr std::chrono::milliseconds longestCountedGap { 2500 };
    /// A shorter gap was not a failover.
    constexpr std::chrono::milliseconds shortestCountedGap { 200 };

} // namespace

void FailoverForecast::onPrimaryLost(const GroupId& group, TimePoint now)
{
    this->lostSince.emplace(group, now);
}

void FailoverForecast::onPrimaryUsable(const GroupId& group, TimePoint now)
{
    std::map<GroupId, TimePoint>::iterator lost = this->lostSince.find(group);
    if (lost == this->lostSince.end())
        return;
    Duration gap = std::chrono::duration_cast<Duration>(now - lost->second);
    this->lostSince.erase(lost);
    if (gap < shortestCountedGap || gap > longestCountedGap)
        return;
    double mean = static_cast<double>(this->meanGap.count()) * (1 - newestGapWeight) + static_cast<double>(gap.count()) * newestGapWeight;
    this->meanGap = Duration(static_cast<Duration::rep>(mean));
}

std::optional<TimePoint> FailoverForecast::getExpectedReturn(const GroupId& group, TimePoint now) const
{
    std::map<GroupId, TimePoint>::const_iterator lost = this->lostSince.find(group);
    if (lost == this->lostSince.end())
        return std::nullopt;
    TimePoint expectedAt = lost->second + this->meanGap;
    return now <= expectedAt ? expectedAt : now + (now - expectedAt);
}

} // namespace lentiljunction
