#pragma once

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <set>
#include <string>

namespace lentiljunction {

/// A family of gauges for a changing set of objects, such as upstreams. Not thread-safe.
///
/// @code
/// gauges.beginUpdate();
/// for (const Upstream& upstream : upstreams)
///     gauges.set({ { "upstream", upstream.id } }, upstream.numConnections);
/// gauges.endUpdate();
/// @endcode
class LabeledGauges {
public:
    LabeledGauges(prometheus::Registry& registry, const std::string& name, const std::string& help)
        : family(prometheus::BuildGauge().Name(name).Help(help).Register(registry))
    {
    }

    /// Starts an update.
    void beginUpdate() { this->current.clear(); }

    /// Sets the value for one set of labels.
    void set(const prometheus::Labels& labels, double value)
    {
        prometheus::Gauge& gauge = this->family.Add(labels);
        gauge.Set(value);
        this->current.insert(&gauge);
    }

    /// Removes the gauges that were not set since beginUpdate.
    void endUpdate()
    {
        for (prometheus::Gauge* gauge : this->previous) {
            if (this->current.count(gauge) == 0)
                this->family.Remove(gauge);
        }
        this->previous = this->current;
    }

private:
    prometheus::Family<prometheus::Gauge>& family;
    std::set<prometheus::Gauge*> previous;
    std::set<prometheus::Gauge*> current;
};

} // namespace lentiljunction
