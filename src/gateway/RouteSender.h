#pragma once

#include "PieceSender.h"
#include "lentiljunction/routes/RouteHistory.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace lentiljunction {

/// Answers the requests of other instances for the routing configuration: with what changed since their version, or with
/// the complete configuration, in pieces.
///
/// Decides without sockets and timers. Not thread-safe; the control thread owns it.
///
/// @see RouteReceiver
class RouteSender {
public:
    explicit RouteSender(const Clock& clock)
        : pieces(clock)
    {
    }

    /// Sets the configuration in force.
    void onRoutesInForce(const std::shared_ptr<const RouteTable>& table) { this->history.add(table); }

    /// @returns the response to a request
    nlohmann::json respond(const nlohmann::json& request);

private:
    RouteHistory history;
    PieceSender pieces;
};

} // namespace lentiljunction
