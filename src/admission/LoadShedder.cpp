#include "lentiljunction/admission/LoadShedder.h"

#include <algorithm>
#include <array>

namespace lentiljunction {

namespace {

    /// The delay from which each rank is refused.
    constexpr std::array<Duration, numRanks> limits { std::chrono::milliseconds(250), std::chrono::milliseconds(50), std::chrono::milliseconds(15) };
    /// Every so many ticks weigh as much as all before.
    constexpr int memory = 4;

} // namespace

LoadShedder::LoadShedder(Duration interval)
    : interval(interval)
{
}

void LoadShedder::onTick(TimePoint now)
{
    bool isFirst = this->lastTick == TimePoint();
    Duration late = std::max(Duration(0), std::chrono::duration_cast<Duration>(now - this->lastTick) - this->interval);
    this->lastTick = now;
    if (!isFirst)
        this->delay = (this->delay * (memory - 1) + late) / memory;
}

bool LoadShedder::mustRefuse(Rank rank) const
{
    return this->delay > limits[toIndex(rank)];
}

} // namespace lentiljunction
