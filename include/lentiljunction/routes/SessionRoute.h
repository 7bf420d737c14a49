#pragma once

#include "lentiljunction/routes/RouteTable.h"

#include <memory>

namespace lentiljunction {

/// What an operation of a session needs of the routing configuration with which it began.
///
/// A copy, since an open transaction that kept the whole configuration would keep as many of them in memory as were in force
/// while it was open.
struct SessionRoute {
    /// The version of the configuration.
    BundleVersion version;
    Route route;
    /// @see RouteTable::transactionIdleLimit
    Duration transactionIdleLimit { 0 };
    /// Whether the deployment has workspaces, so that callers need keys.
    bool hasWorkspaces = false;
};

/// @returns the route of a database, or nullptr when there is none
inline std::shared_ptr<const SessionRoute> findSessionRoute(const RouteTable& table, const DatabaseId& database)
{
    const Route* route = table.find(database);
    if (route == nullptr)
        return nullptr;
    return std::make_shared<const SessionRoute>(SessionRoute { table.version, *route, table.transactionIdleLimit, table.workspaces.has_value() });
}

} // namespace lentiljunction
