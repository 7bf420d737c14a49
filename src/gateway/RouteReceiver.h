#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Endpoint.h"
#include "lentiljunction/routes/RouteTable.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace lentiljunction {

/// Requests the routing configuration of other instances that have a newer one.
///
/// Decides without sockets and timers. Not thread-safe; the control thread owns it.
///
/// @see RouteSender
class RouteReceiver {
public:
    /// Sends requests to other instances.
    class Transport {
    public:
        virtual ~Transport() = default;

        /// Sends a request. RouteReceiver::onResponse() is called once, later, with the response or without one.
        virtual void sendRouteRequest(const Endpoint& peer, const nlohmann::json& request, Duration timeout) = 0;
    };

    /// Receives configurations.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// @returns the newest configuration that this instance has, or nullptr
        virtual std::shared_ptr<const RouteTable> getNewestTable() const = 0;

        virtual void onRoutesReceived(const std::shared_ptr<const RouteTable>& table, const Endpoint& sender) = 0;
    };

    /// All must outlive this object.
    RouteReceiver(const Clock& clock, Transport& transport, Listener& listener);

    /// Another instance has a newer version.
    void onNewerVersion(const Endpoint& peer);

    /// @param response nothing when the request timed out or its link was lost
    void onResponse(const Endpoint& peer, const std::optional<nlohmann::json>& response);

    /// Continues what was put off. Call it at getNextDeadline().
    void onTick() { }

    /// @returns when onTick() must be called next, or nothing
    std::optional<TimePoint> getNextDeadline() const { return std::nullopt; }

private:
    const Clock& clock;
    Transport& transport;
    Listener& listener;
    std::set<std::string> requestedFrom;
};

} // namespace lentiljunction
