#include "LatencyEstimate.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// How long the average is used without a new sample.
    constexpr std::chrono::seconds sampleLifetime { 2 };
    constexpr double sampleWeight = 0.15;

} // namespace

void LatencyEstimate::onSample(Duration latency, TimePoint now)
{
    double weighted = static_cast<double>(this->mean.count()) * (1 - sampleWeight) + static_cast<double>(latency.count()) * sampleWeight;
    this->mean = Duration(static_cast<Duration::rep>(weighted));
    this->sampledAt = now;
}

Duration LatencyEstimate::get(TimePoint now) const
{
    return now - this->sampledAt > sampleLifetime ? std::min<Duration>(this->mean, defaultLatency) : this->mean;
}

} // namespace lentiljunction
