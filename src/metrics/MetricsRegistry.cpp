#include "MetricsRegistry.h"

#include <prometheus/text_serializer.h>

namespace lentiljunction {

const prometheus::Histogram::BucketBoundaries secondsBuckets {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5
};

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string MetricsRegistry::render() const
{
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace lentiljunction
