#include "RouteReceiver.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/routes/RelayedRoutes.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Allows several round trips between regions for a table of some hundred routes on a link that is shared.
    constexpr std::chrono::milliseconds routesTimeout { 1000 };

    std::string describe(const Endpoint& peer)
    {
        return peer.host + ":" + std::to_string(peer.port);
    }

} // namespace

RouteReceiver::RouteReceiver(const Clock& clock, Transport& transport, Listener& listener)
    : clock(clock)
    , transport(transport)
    , listener(listener)
{
}

void RouteReceiver::onNewerVersion(const Endpoint& peer)
{
    if (this->requestedFrom.insert(describe(peer)).second)
        this->transport.sendRouteRequest(peer, { { "ask", "routes" } }, routesTimeout);
}

void RouteReceiver::onResponse(const Endpoint& peer, const std::optional<nlohmann::json>& response)
{
    std::string name = describe(peer);
    this->requestedFrom.erase(name);
    if (!response)
        return logEvent(events::routesNotReceived, "peer=" + name + " reason=\"no response in time, or the link was lost\"");
    Failure failure;
    std::optional<RouteTable> table = decodeRelayedRoutes(*response, failure);
    if (!table)
        return logEvent(events::routesNotReceived, "peer=" + name + " reason=\"" + failure.reason + "\"");
    this->listener.onRoutesReceived(std::make_shared<RouteTable>(std::move(*table)), peer);
}

} // namespace lentiljunction
