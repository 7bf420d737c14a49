#pragma once

#include "../net/OneShotTimer.h"
#include "../peer/PeerRpc.h"
#include "RouteReceiver.h"
#include "RouteSender.h"
#include "RouteWatcher.h"

namespace lentiljunction {

/// Transfers the routing configuration between instances: connects RouteReceiver and RouteSender with the links to other
/// instances and with the watcher of the configuration.
///
/// Not thread-safe; the control thread owns it.
///
/// @see RouteReceiver, RouteSender
class RouteTransfer : private RouteReceiver::Transport, private RouteReceiver::Listener {
public:
    /// All must outlive this object.
    ///
    /// @param self where this instance listens for others
    RouteTransfer(EventLoop& loop, const Clock& clock, PeerRpc& peers, RouteWatcher& routes, const Endpoint& self);

    /// Requests the configuration of another instance, which has a newer one.
    void request(const Endpoint& peer, BundleVersion version);

    /// Sets the configuration in force, which other instances may request.
    void onRoutesInForce(const std::shared_ptr<const RouteTable>& table);

    /// @returns the response to a request of another instance
    nlohmann::json respond(const nlohmann::json& request) { return this->sender.respond(request); }

private:
    void sendRouteRequest(const Endpoint& peer, const nlohmann::json& request, Duration timeout) override;
    std::shared_ptr<const RouteTable> getNewestTable() const override { return this->routes.getNewestTable(); }
    void onRoutesReceived(const std::shared_ptr<const RouteTable>& table, const Endpoint& sender) override;
    void onRoutesProgress() override { this->routes.onTransferProgress(); }
    void setTimer();

    PeerRpc& peers;
    RouteWatcher& routes;
    RouteSender sender;
    RouteReceiver receiver;
    OneShotTimer timer;
};

} // namespace lentiljunction
