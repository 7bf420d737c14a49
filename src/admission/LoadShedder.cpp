#include "lentiljunction/admission/LoadShedder.h"

#include <algorithm>
#include <array>

namespace lentiljunction {

namespace {

    /// The timer delay above which each rank is refused, indexed by rank.
    constexpr std::array<Duration, numRanks> refusalDelays { std::chrono::milliseconds(250), std::chrono::milliseconds(50), std::chrono::milliseconds(15) };
    /// The window of the moving average: each tick has the weight 1 / averagingTicks.
    constexpr int averagingTicks = 4;

} // namespace

LoadShedder::LoadShedder(Duration interval)
    : interval(interval)
{
}

void LoadShedder::onTick(TimePoint now)
{
    bool isFirst = this->lastTick == TimePoint();
    Duration lateness = std::max(Duration(0), std::chrono::duration_cast<Duration>(now - this->lastTick) - this->interval);
    this->lastTick = now;
    if (!isFirst)
        this->delay = (this->delay * (averagingTicks - 1) + lateness) / averagingTicks;
}

bool LoadShedder::mustRefuse(Rank rank) const
{
    return this->delay > refusalDelays[toIndex(rank)];
}

} // namespace lentiljunction
