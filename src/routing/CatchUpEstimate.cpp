#include "lentiljunction/routing/CatchUpEstimate.h"

namespace lentiljunction {

namespace {

    /// How much longer than at the primary a read may take at a replica, to spare the primary.
    constexpr Duration primaryRelief = std::chrono::milliseconds(20);
    /// What is expected where nothing is known.
    constexpr Duration usualCatchUp = std::chrono::milliseconds(10);
    constexpr int waitFactor = 2;
    /// Every so many samples weigh as much as all before.
    constexpr int memory = 8;

} // namespace

bool CatchUpEstimate::isWaitWorthwhile(Duration costAtPrimary) const
{
    return this->mean <= costAtPrimary + primaryRelief;
}

Duration CatchUpEstimate::getMaximumWait(Duration costAtPrimary) const
{
    return (costAtPrimary + primaryRelief) * waitFactor;
}

void CatchUpEstimate::onCaughtUp(Duration waited)
{
    this->blend(waited);
}

void CatchUpEstimate::onCatchUpTimeout(Duration waited)
{
    // The replica needs longer than was waited; nobody knows how much.
    this->blend(waited * 2);
}

void CatchUpEstimate::onWaitSkipped()
{
    this->blend(usualCatchUp);
}

void CatchUpEstimate::blend(Duration sample)
{
    this->mean = (this->mean * (memory - 1) + sample) / memory;
}

} // namespace lentiljunction
