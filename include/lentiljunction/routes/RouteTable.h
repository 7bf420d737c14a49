#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/core/Rank.h"
#include "lentiljunction/workspaces/WorkspaceTable.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// Which commits a read must see.
enum class Consistency {
    /// All commits that were acknowledged before the read began.
    Primary,
    /// The session's own commits, and all commits older than the maximum staleness.
    ReadYourWrites,
    /// All commits older than the maximum staleness.
    BoundedStaleness,
};

/// How statements for one database are routed.
struct Route {
    DatabaseId database;
    GroupId group;
    Consistency consistency = Consistency::Primary;
    Rank rank = Rank::Normal;
    /// Timeout of one statement, from its arrival to its reply.
    Duration statementTimeout { 0 };
    /// The latency objective of a whole operation.
    Duration targetLatency { 0 };
    /// Maximum age of the data of a read. Ignored for Consistency::Primary.
    Duration maximumStaleness { 0 };
    /// Whether callers need no key.
    bool isPublic = false;
};

/// The configuration of one group of upstreams.
struct GroupConfig {
    /// Connections that one upstream accepts from all instances together.
    int maximumConnections = 0;
    /// Replicas that have received a commit when the primary acknowledges it; such a commit survives a failover.
    std::size_t numSynchronousReplicas = 0;
};

/// One version of the routing configuration. Immutable once it is in force.
///
/// @see ActiveRoutes
struct RouteTable {
    BundleVersion version;
    std::map<DatabaseId, Route> routes;
    std::map<GroupId, GroupConfig> groups;
    /// A transaction that is idle for longer may be rolled back. Zero means no limit.
    Duration transactionIdleLimit { 0 };
    /// The workspaces; nothing in a deployment without workspaces, where callers need no key.
    std::optional<WorkspaceTable> workspaces;

    /// @returns the route of a database, or nullptr when there is none
    const Route* find(const DatabaseId& database) const
    {
        std::map<DatabaseId, Route>::const_iterator found = this->routes.find(database);
        return found == this->routes.end() ? nullptr : &found->second;
    }
};

} // namespace lentiljunction
