#include "lentiljunction/admission/ConcurrencyLimit.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// The limit grows while the latency is at most this multiple of the best latency.
    constexpr double growBelow = 1.3;
    /// The limit shrinks when the latency exceeds this multiple of the best latency.
    constexpr double shrinkAbove = 2.0;
    constexpr double growStep = 0.05;
    constexpr double shrinkFactor = 0.97;
    /// The best latency is raised by this factor with each sample, so that an outdated minimum expires.
    constexpr double bestDecay = 1.001;
    constexpr int slotMultiple = 2;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots)
    : slots(slots)
    , limit(slots)
{
}

void ConcurrencyLimit::onSample(Duration latency, int numRunning)
{
    double sample = static_cast<double>(latency.count());
    double best = static_cast<double>(this->bestLatency.count()) * bestDecay + 1;
    if (this->bestLatency.count() == 0 || sample < best)
        best = sample;
    this->bestLatency = Duration(static_cast<Duration::rep>(best));

    bool isFull = numRunning >= this->getLimit();
    if (isFull && sample <= best * growBelow)
        this->limit += growStep;
    if (sample > best * shrinkAbove)
        this->limit *= shrinkFactor;
    this->limit = std::clamp(this->limit, 1.0, static_cast<double>(this->slots * slotMultiple));
}

} // namespace lentiljunction
