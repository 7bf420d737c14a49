#pragma once

#include "../net/OneShotTimer.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/routes/RelayedRoutes.h"
#include "lentiljunction/routes/RouteKeeper.h"

namespace lentiljunction {

/// Keeps the routing configuration of one instance current.
///
/// Watches the store itself, unless another instance of the availability zone tells often enough how
/// current its own configuration is. Whoever relays says how long ago the store confirmed it, so an
/// instance that the store turns away is not taken for current.
///
/// Belongs to the control thread.
///
/// @see RelayedRoutes
class RouteWatcher {
public:
    /// Is told of a newer configuration.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onRoutesInForce(const std::shared_ptr<const RouteTable>& table) = 0;
    };

    /// All must outlive this object.
    RouteWatcher(EventLoop& loop, const Clock& clock, FleetStore& store, Listener& listener);

    /// Reads the configuration from the store and goes on watching.
    void start() { this->read(); }

    /// Another instance tells how current its configuration is.
    ///
    /// @param askedAt when it was asked
    /// @returns whether it has a newer version, which should be asked for
    bool onRelayed(const RouteCurrency& currency, BootTime askedAt);

    /// Takes a configuration from another instance.
    void offer(std::shared_ptr<const RouteTable> table);

    /// @returns how current the configuration is, for other instances; nothing while the store does not answer
    std::optional<RouteCurrency> getCurrency() const;

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
    RouteKeeper routes;
    StoreVersion revision;
    RelayTrust trust;
    /// When the store last showed that nothing newer is there.
    std::optional<BootTime> confirmedAt;
    bool isCallPending = false;
    /// Another instance is gone by, so the revision to watch from is out of date.
    bool isRelayed = false;
    OneShotTimer timer;
};

} // namespace lentiljunction
