#include "lentiljunction/admission/SharedConcurrencyLimit.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// An upstream's own queue holds several times its slots; more from one instance starves others.
    constexpr double slotMultiple = 3;
    constexpr double growStep = 0.1;
    constexpr double refusedFactor = 0.7;
    constexpr double slowFactor = 0.98;
    constexpr double latencyWeight = 0.1;
    /// Beyond this mean, about half of the shortest objective of the sites, work waits at the upstream
    /// rather than in the queue here, where it can be ordered by rank.
    constexpr std::chrono::milliseconds slowLatency { 60 };

} // namespace

SharedConcurrencyLimit::SharedConcurrencyLimit(int slots)
    : maximum(std::max(1, slots) * slotMultiple)
    , limit(std::max(1, slots))
{
}

void SharedConcurrencyLimit::onAnswered(Duration latency, int numRunning)
{
    double mean = static_cast<double>(this->meanLatency.count()) * (1 - latencyWeight) + static_cast<double>(latency.count()) * latencyWeight;
    this->meanLatency = Duration(static_cast<Duration::rep>(mean));
    if (this->meanLatency > slowLatency)
        this->limit *= slowFactor;
    else if (numRunning >= this->getLimit())
        this->limit += growStep;
    this->limit = std::clamp(this->limit, 1.0, this->maximum);
}

void SharedConcurrencyLimit::onRefused()
{
    this->limit = std::max(1.0, this->limit * refusedFactor);
}

} // namespace lentiljunction
