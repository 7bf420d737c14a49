#pragma once

#include "lentiljunction/routes/RouteTable.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace lentiljunction {

/// Answers the requests of other instances for the routing configuration.
///
/// Decides without sockets and timers. Not thread-safe; the control thread owns it.
///
/// @see RouteReceiver
class RouteSender {
public:
    /// Sets the configuration in force.
    void onRoutesInForce(std::shared_ptr<const RouteTable> newTable) { this->table = std::move(newTable); }

    /// @returns the response to a request
    nlohmann::json respond(const nlohmann::json& request);

private:
    std::shared_ptr<const RouteTable> table;
};

} // namespace lentiljunction
