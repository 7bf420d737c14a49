#include "lentiljunction/admission/SharedConcurrencyLimit.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// An upstream queues several times its slots; a larger share for one instance would starve others.
    constexpr double slotMultiple = 3;
    constexpr double growStep = 0.1;
    constexpr double refusedFactor = 0.7;
    constexpr double slowFactor = 0.98;
    constexpr double latencyWeight = 0.1;
    /// The limit shrinks above this mean latency, which is about half of the shortest latency objective of
    /// the sites. Beyond it, statements wait at the upstream instead of in the local queue, which orders them
    /// by rank.
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
