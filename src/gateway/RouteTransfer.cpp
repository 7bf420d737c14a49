#include "RouteTransfer.h"

namespace lentiljunction {

RouteTransfer::RouteTransfer(EventLoop& loop, const Clock& clock, PeerRpc& peers, RouteWatcher& routes, const Endpoint& self)
    : peers(peers)
    , routes(routes)
    , sender(clock)
    , receiver(clock, *this, *this, self)
    , timer(loop, clock, [this] {
        this->receiver.onTick();
        this->setTimer();
    })
{
}

void RouteTransfer::request(const Endpoint& peer, BundleVersion version)
{
    this->receiver.onNewerVersion(peer, version);
    this->setTimer();
}

void RouteTransfer::onRoutesInForce(const std::shared_ptr<const RouteTable>& table)
{
    this->sender.onRoutesInForce(table);
    this->receiver.onTableKnown(table->version);
}

void RouteTransfer::sendRouteRequest(const Endpoint& peer, const nlohmann::json& request, Duration timeout)
{
    this->peers.ask(peer, request, timeout, [this, peer](const std::optional<nlohmann::json>& response) {
        this->receiver.onResponse(peer, response);
        this->setTimer();
    });
}

void RouteTransfer::onRoutesReceived(const std::shared_ptr<const RouteTable>& table, const Endpoint& sender)
{
    this->routes.offer(table, { RouteSource::Kind::OtherInstance, sender });
}

void RouteTransfer::setTimer()
{
    std::optional<TimePoint> next = this->receiver.getNextDeadline();
    if (next)
        this->timer.setTime(*next);
}

} // namespace lentiljunction
