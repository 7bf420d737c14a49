#include "LatencyEstimate.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// A measured latency loses its weight within this time without a new one.
    constexpr std::chrono::seconds memory { 2 };
    constexpr double sampleWeight = 0.15;

} // namespace

void LatencyMemory::onSample(Duration latency, TimePoint now)
{
    double weighted = static_cast<double>(this->mean.count()) * (1 - sampleWeight) + static_cast<double>(latency.count()) * sampleWeight;
    this->mean = Duration(static_cast<Duration::rep>(weighted));
    this->sampledAt = now;
}

Duration LatencyMemory::get(TimePoint now) const
{
    return now - this->sampledAt > memory ? std::min<Duration>(this->mean, assumed) : this->mean;
}

} // namespace lentiljunction
