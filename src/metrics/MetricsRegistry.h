#pragma once

#include "lentiljunction/core/Clock.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace lentiljunction {

/// Creates and renders the metrics of one instance.
class MetricsRegistry {
public:
    prometheus::Family<prometheus::Counter>& addCounter(const std::string& name, const std::string& help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(this->registry);
    }

    prometheus::Family<prometheus::Gauge>& addGauge(const std::string& name, const std::string& help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(this->registry);
    }

    prometheus::Family<prometheus::Histogram>& addHistogram(const std::string& name, const std::string& help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(this->registry);
    }

    prometheus::Registry& get() { return this->registry; }

    /// @returns all metrics in the Prometheus text format
    std::string render() const;

private:
    prometheus::Registry registry;
};

/// Bucket bounds in seconds, from the duration of a local response to the longest deadline of a request.
extern const prometheus::Histogram::BucketBoundaries secondsBuckets;

/// @returns a duration in seconds
double toSeconds(Duration duration);

} // namespace lentiljunction
