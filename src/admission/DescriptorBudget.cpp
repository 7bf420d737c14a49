#include "lentiljunction/admission/DescriptorBudget.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Ports, event loops, standard streams and the connections of a small system.
    constexpr std::size_t fixedReserve = 64;
    /// The larger the machines, the more instances and upstreams a system usually has.
    constexpr std::size_t reserveDivisor = 8;

} // namespace

std::size_t DescriptorBudget::getMaximumSessions() const
{
    return this->limit - std::min(this->limit / 2, fixedReserve + this->limit / reserveDivisor);
}

} // namespace lentiljunction
