#include "OwnGates.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lentiljunction {

OwnGates::Moves OwnGates::update(const Bundle& bundle, const GateMap& gates, const InstanceId& self)
{
    std::set<UpstreamId> next;
    for (const std::pair<const DatabaseId, DatabaseConfig>& entry : bundle.databases) {
        for (const UpstreamConfig& upstream : entry.second.upstreams) {
            if (gates.isGate(self, upstream.id))
                next.insert(upstream.id);
        }
    }
    Moves moves;
    std::set_difference(next.begin(), next.end(), this->current.begin(), this->current.end(), std::back_inserter(moves.opened));
    std::set_difference(this->current.begin(), this->current.end(), next.begin(), next.end(), std::back_inserter(moves.closed));
    this->current = std::move(next);
    return moves;
}

} // namespace lentiljunction
