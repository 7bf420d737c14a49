#include "lentiljunction/routing/CatchUpEstimate.h"

namespace lentiljunction {

namespace {

    /// The additional time that a read may take at a replica, to keep load off the primary.
    constexpr Duration replicaWaitAllowance = std::chrono::milliseconds(20);
    /// The wait that is assumed without recent samples.
    constexpr Duration defaultCatchUpTime = std::chrono::milliseconds(10);
    constexpr int waitFactor = 2;
    /// The window of the moving average: each sample has the weight 1 / averagingSamples.
    constexpr int averagingSamples = 8;

} // namespace

bool CatchUpEstimate::isWaitWorthwhile(Duration costAtPrimary) const
{
    return this->mean <= costAtPrimary + replicaWaitAllowance;
}

Duration CatchUpEstimate::getMaximumWait(Duration costAtPrimary) const
{
    return (costAtPrimary + replicaWaitAllowance) * waitFactor;
}

void CatchUpEstimate::onCaughtUp(Duration waited)
{
    this->addSample(waited);
}

void CatchUpEstimate::onCatchUpTimeout(Duration waited)
{
    // The replica needs longer than the read waited, by an unknown amount.
    this->addSample(waited * 2);
}

void CatchUpEstimate::onWaitSkipped()
{
    this->addSample(defaultCatchUpTime);
}

void CatchUpEstimate::addSample(Duration sample)
{
    this->mean = (this->mean * (averagingSamples - 1) + sample) / averagingSamples;
}

} // namespace lentiljunction
