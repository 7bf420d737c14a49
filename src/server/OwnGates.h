#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/routing/GateMap.h"

#include <set>
#include <vector>

namespace lentiljunction {

/// The upstreams for which one instance is the gate.
///
/// Not thread-safe; the control thread owns it.
class OwnGates {
public:
    /// The difference that a new gate map makes.
    struct Moves {
        std::vector<UpstreamId> opened;
        std::vector<UpstreamId> closed;
    };

    /// Applies a new gate map.
    ///
    /// @returns the upstreams whose gate moved to or away from the instance
    Moves update(const Bundle& bundle, const GateMap& gates, const InstanceId& self);

    const std::set<UpstreamId>& getAll() const { return this->current; }

private:
    std::set<UpstreamId> current;
};

} // namespace lentiljunction
