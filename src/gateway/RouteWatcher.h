#pragma once

#include "../net/OneShotTimer.h"
#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/routes/ActiveRoutes.h"
#include "lentiljunction/routes/KeyFreshnessTracker.h"
#include "lentiljunction/routes/RelayedRoutes.h"
#include "lentiljunction/routes/RouteProof.h"

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
    ///
    /// @param self this instance, which other instances are told of as the one to which the store confirmed a version
    RouteWatcher(EventLoop& loop, const Clock& clock, FleetStore& store, InstanceId self, Listener& listener);

    /// Reads the configuration from the store, then watches it.
    void start() { this->read(); }

    /// Processes the configuration version that another instance reported, and when the store confirmed it.
    ///
    /// @param reader where that instance listens for others
    /// @param sentAt when the request was sent
    /// @returns whether that instance has a newer version, which should be requested
    bool onRelayedFreshness(const RouteFreshness& freshness, const Endpoint& reader, BootTime sentAt);

    /// Offers a configuration from another instance; an older one is ignored.
    void offer(std::shared_ptr<const RouteTable> table, const RouteSource& source);

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
    /// @param peer where that instance listens for others
    /// @param sentAt when the request was sent
    /// @returns whether that instance has a newer version, which should be requested
    bool onPeerFreshness(const RouteFreshness& freshness, const Endpoint& peer, BootTime sentAt);

    /// Sets the zones in which other instances run.
    void setZones(std::set<ZoneId> others) { this->keyFreshness.setZones(std::move(others)); }

    /// Another instance of a zone reported that it has no contact with the store.
    ///
    /// @param sentAt when the request was sent
    void onZoneWithoutStore(const ZoneId& zone, BootTime sentAt) { this->keyFreshness.onZoneWithoutStore(zone, sentAt); }

    /// @returns the revision of the store from which the routes are watched
    StoreVersion getRevision() const { return this->revision; }

    /// @returns the newest proof that the configuration in force is the newest one, or nothing before the first
    const std::optional<RouteProof>& getProof() const { return this->proofs.getProof(); }

private:
    void read();
    void onCallFinished();
    void applyRoutes(const VersionedRoutes& versioned, RouteSource::Kind kind);
    void retry(const std::string& call, const Failure& failure);
    /// Reads the store again after a failure, unless another instance relays the routes.
    void retryUnlessRelayed();
    /// Watches the store, unless the version reported by another instance is fresh enough.
    void watchUnlessRelayed();
    bool hasWorkspaces() const { return this->routes.getTable() != nullptr && this->routes.getTable()->workspaces; }
    void onConfirmedByStore(BootTime sentAt);
    void recordProof(BootTime provenAt, const InstanceId& confirmedTo, const RouteSource& source);
    /// @returns whether another instance has a version that is newer than the one in force
    bool isNewer(const RouteFreshness& freshness, const RouteSource& source);
    /// Logs when the configuration begins or ceases to count as proven.
    void checkProven();

    EventLoop& loop;
    const Clock& clock;
    FleetStore& store;
    InstanceId self;
    Listener& listener;
    ActiveRoutes routes;
    /// The revision of the last response, and the era of the store that issued it; the watch reports later ones.
    StoreVersion revision;
    StoreEra era;
    RelayedFreshness relayedFreshness;
    /// When the store last confirmed that there is no newer configuration.
    std::optional<BootTime> confirmedAt;
    KeyFreshnessTracker keyFreshness;
    RouteProofTracker proofs;
    bool isCallPending = false;
    /// This instance relies on another one, so the revision from which to watch the store is out of date.
    bool isRelyingOnPeer = false;
    Backoff storeRetries;
    OneShotTimer timer;
    OneShotTimer proofTimer;
};

} // namespace lentiljunction
