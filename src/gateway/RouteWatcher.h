#pragma once

#include "../net/OneShotTimer.h"
#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/routes/ActiveRoutes.h"
#include "lentiljunction/routes/KeyFreshnessTracker.h"
#include "lentiljunction/routes/RelayedRoutes.h"

namespace lentiljunction {

/// Keeps the routing configuration of one instance up to date.
///
/// Watches the store, unless another instance of the availability zone regularly reports its configuration
/// version. That instance also reports how long ago the store confirmed the version, so this instance does
/// not rely on one that cannot reach the store or whose requests the store rejects.
///
/// Not thread-safe; the control thread owns it.
///
/// @see RelayedRoutes
class RouteWatcher {
public:
    /// Receives newer configurations.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onRoutesInForce(const std::shared_ptr<const RouteTable>& table) = 0;
    };

    /// All must outlive this object.
    RouteWatcher(EventLoop& loop, const Clock& clock, FleetStore& store, Listener& listener);

    /// Reads the configuration from the store, then watches it.
    void start() { this->read(); }

    /// Processes the configuration version that another instance reported, and when the store confirmed it.
    ///
    /// @param sentAt when the request was sent
    /// @returns whether that instance has a newer version, which should be requested
    bool onRelayedFreshness(const RouteFreshness& freshness, BootTime sentAt);

    /// Offers a configuration from another instance; an older one is ignored.
    void offer(std::shared_ptr<const RouteTable> table);

    /// @returns the configuration version and the time since the store confirmed it to this instance or to the
    /// one that it relies on, for other instances; nothing without a confirmation, as when the store does not answer
    std::optional<RouteFreshness> getFreshness() const;

    /// @returns the configuration in force, or nullptr before the first
    const std::shared_ptr<const RouteTable>& getTable() const { return this->routes.getTable(); }

    /// @returns how long keys may be decided with the configuration in force; nullptr before the first
    std::shared_ptr<const RouteConfirmation> getConfirmation() const { return this->keyFreshness.getConfirmation(); }

    /// @returns whether the configuration has workspaces and needs a confirmation by another instance
    bool needsPeerConfirmation() const { return this->hasWorkspaces() && this->keyFreshness.needsConfirmation(this->clock.bootNow()); }

    /// Processes the configuration version of an instance of any zone. Unlike after onRelayedFreshness(), this instance
    /// goes on to read the store.
    ///
    /// @param sentAt when the request was sent
    /// @returns whether that instance has a newer version, which should be requested
    bool onPeerFreshness(const RouteFreshness& freshness, BootTime sentAt);

    /// Sets the zones in which other instances run.
    void setZones(std::set<ZoneId> others) { this->keyFreshness.setZones(std::move(others)); }

    /// Another instance of a zone reported that it has no contact with the store.
    ///
    /// @param sentAt when the request was sent
    void onZoneWithoutStore(const ZoneId& zone, BootTime sentAt) { this->keyFreshness.onZoneWithoutStore(zone, sentAt); }

    /// @returns the revision of the store from which the routes are watched
    StoreVersion getRevision() const { return this->revision; }

private:
    void read();
    void onCallFinished();
    void applyRoutes(const VersionedRoutes& versioned);
    void retry(const std::string& call, const Failure& failure);
    /// Reads the store again after a failure, unless another instance relays the routes.
    void retryUnlessRelayed();
    /// Watches the store, unless the version reported by another instance is fresh enough.
    void watchUnlessRelayed();
    bool hasWorkspaces() const { return this->routes.getTable() != nullptr && this->routes.getTable()->workspaces; }
    void onConfirmedByStore(BootTime sentAt);

    EventLoop& loop;
    const Clock& clock;
    FleetStore& store;
    Listener& listener;
    ActiveRoutes routes;
    /// The revision of the last response, and the era of the store that issued it; the watch reports later ones.
    StoreVersion revision;
    StoreEra era;
    RelayedFreshness relayedFreshness;
    /// When the store last confirmed that there is no newer configuration.
    std::optional<BootTime> confirmedAt;
    KeyFreshnessTracker keyFreshness;
    bool isCallPending = false;
    /// This instance relies on another one, so the revision from which to watch the store is out of date.
    bool isRelyingOnPeer = false;
    Backoff storeRetries;
    OneShotTimer timer;
};

} // namespace lentiljunction
