#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/routing/GateMap.h"

#include <set>
#include <vector>

namespace lentiljunction {

/// The upstreams whose gate one instance is.
///
/// Not thread-safe; the control thread owns it.
class OwnGates {
public:
    /// What a new map of gates changed.
    struct Moves {
        std::vector<UpstreamId> opened;
        std::vector<UpstreamId> closed;
    };

    /// Takes a new map of gates.
    Moves update(const Bundle& bundle, const GateMap& gates, const InstanceId& self);

    const std::set<UpstreamId>& getAll() const { return this->current; }

private:
    std::set<UpstreamId> current;
};

} // namespace lentiljunction
