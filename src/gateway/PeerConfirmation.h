#pragma once

#include "../peer/PeerRpc.h"
#include "RouteWatcher.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <map>
#include <vector>

namespace lentiljunction {

/// Asks instances of every availability zone for their routing configuration, while the store does not confirm that of
/// this instance. A newer one is put in force, and a confirmed one confirms this instance's. If no zone has contact with
/// the store, keys stay accepted.
///
/// Not thread-safe; the control thread owns it.
///
/// @see KeyFreshnessTracker
class PeerConfirmation {
public:
    /// All must outlive this object.
    PeerConfirmation(PeerRpc& peers, const Clock& clock, RouteWatcher& routes, InstanceId self);

    /// Sets the registered instances.
    void setMembers(const std::vector<FleetMember>& members);

    /// Asks one instance of each zone if the configuration needs a confirmation. Call it several times per second.
    void askIfNeeded();

    /// Requests the routing configuration of another instance.
    void requestRoutes(const Endpoint& peer);

private:
    void ask(const FleetMember& member);

    PeerRpc& peers;
    const Clock& clock;
    RouteWatcher& routes;
    InstanceId self;
    std::map<ZoneId, std::vector<FleetMember>> zones;
    /// Each request goes to another instance of its zone, since the previous one may have stopped.
    std::size_t next = 0;
    BootTime askedAt;
};

} // namespace lentiljunction
