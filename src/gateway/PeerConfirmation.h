#pragma once

#include "../net/OneShotTimer.h"
#include "../peer/PeerRpc.h"
#include "RouteTransfer.h"
#include "RouteWatcher.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <map>
#include <vector>

namespace lentiljunction {

/// Asks instances of every availability zone for their routing configuration while that of this instance is missing, not
/// proven or known to be outdated. A newer one is requested, and a proof of the same version also holds here. If no zone
/// has contact with the store, keys stay accepted.
///
/// Not thread-safe; the control thread owns it.
///
/// @see RouteWatcher, KeyFreshnessTracker
class PeerConfirmation {
public:
    /// All must outlive this object.
    ///
    /// @param seeds other instances, which are asked until the registered ones are known
    PeerConfirmation(EventLoop& loop, PeerRpc& peers, const Clock& clock, RouteWatcher& routes, RouteTransfer& transfer, InstanceId self, std::vector<Endpoint> seeds);

    /// Begins to check whether other instances must be asked.
    void start();

    /// Sets the registered instances.
    void setMembers(const std::vector<FleetMember>& members);

    /// Asks one instance of each zone now, unless some were asked a moment ago.
    void askNow();

private:
    void check();
    void askAll();
    /// @param zone the zone of the other instance, if it is known
    void ask(const Endpoint& peer, const std::optional<ZoneId>& zone);
    void onResponse(const nlohmann::json& response, const Endpoint& peer, const std::optional<ZoneId>& zone, BootTime sentAt);

    PeerRpc& peers;
    const Clock& clock;
    RouteWatcher& routes;
    RouteTransfer& transfer;
    InstanceId self;
    std::vector<Endpoint> seeds;
    /// @returns the instance of a zone that is asked next
    const FleetMember& choose(const std::vector<FleetMember>& members) const;

    /// The instances of each zone, those first that read the store for it.
    std::map<ZoneId, std::vector<FleetMember>> zones;
    /// Each request goes to another instance of its zone, since the previous one may have stopped.
    std::size_t next = 0;
    std::size_t numPending = 0;
    BootTime askedAt;
    OneShotTimer timer;
};

} // namespace lentiljunction
