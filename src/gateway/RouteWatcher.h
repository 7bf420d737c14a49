#pragma once

#include "../net/OneShotTimer.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/routes/ActiveRoutes.h"
#include "lentiljunction/routes/RelayedRoutes.h"

namespace lentiljunction {

/// Keeps the routing configuration of one instance up to date.
///
/// Watches the store, unless another instance of the availability zone relays often enough which version
/// it has. The relaying instance also sends how long ago the store confirmed this version, so an instance
/// that the store rejects is not relied on.
///
/// Belongs to the control thread.
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

    /// Another instance reported its configuration version and when the store confirmed it.
    ///
    /// @param askedAt when the request was sent
    /// @returns whether that instance has a newer version, which should be requested
    bool onRelayed(const RouteFreshness& currency, BootTime askedAt);

    /// Offers a configuration from another instance; an older one is ignored.
    void offer(std::shared_ptr<const RouteTable> table);

    /// @returns the configuration version and the time since its confirmation, for other instances; nothing while
    /// the store does not answer
    std::optional<RouteFreshness> getCurrency() const;

    /// @returns the configuration in force, or nullptr before the first
    const std::shared_ptr<const RouteTable>& getTable() const { return this->routes.getTable(); }

private:
    void read();
    void watch();
    void applyRoutes(const VersionedRoutes& read);
    void retry(const std::string& call, const Failure& failure);
    void check();

    EventLoop& loop;
    const Clock& clock;
    FleetStore& store;
    Listener& listener;
    ActiveRoutes routes;
    StoreVersion revision;
    RelayedFreshness trust;
    /// When the store last confirmed that there is no newer configuration.
    std::optional<BootTime> confirmedAt;
    bool isCallPending = false;
    /// Relayed configurations are in use, so the revision to watch from is out of date.
    bool isRelayed = false;
    OneShotTimer timer;
};

} // namespace lentiljunction
