#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/core/Rank.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// Which commits a read must see.
enum class Consistency {
    /// Every commit that was acknowledged before the read began.
    Primary,
    /// The session's own commits, and every commit older than the maximum staleness.
    ReadYourWrites,
    /// Every commit older than the maximum staleness.
    BoundedStaleness,
};

/// How the sessions of one database are served.
struct Route {
    DatabaseId database;
    GroupId group;
    Consistency consistency = Consistency::Primary;
    Rank rank = Rank::Normal;
    /// Bounds one statement, from its arrival to its answer.
    Duration statementTimeout { 0 };
    /// The latency objective of a whole operation.
    Duration targetLatency { 0 };
    /// How old the data of a read may be. Without effect on routes of Consistency::Primary.
    Duration maximumStaleness { 0 };
};

/// What is configured for one group of upstreams.
struct GroupConfig {
    /// Connections that one upstream accepts from all callers together.
    int maximumConnections = 0;
};

/// One version of the routing configuration. Immutable once it is in force.
///
/// @see ActiveRoutes
struct RouteTable {
    BundleVersion version;
    std::map<DatabaseId, Route> routes;
    std::map<GroupId, GroupConfig> groups;
    /// A transaction that is idle for longer may be ended.
    Duration transactionIdleLimit { 0 };

    /// @returns the route of a database, or nullptr when there is none
    const Route* find(const DatabaseId& database) const
    {
        std::map<DatabaseId, Route>::const_iterator found = this->routes.find(database);
        return found == this->routes.end() ? nullptr : &found->second;
    }
};

} // namespace lentiljunction
