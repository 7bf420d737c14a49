#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/routes/RouteTable.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace lentiljunction {

/// Identifies the content of a routing configuration.
using RouteTableDigest = Number<struct RouteTableDigestTag>;

/// @returns the digest of all that a configuration says, its version included
RouteTableDigest computeRouteTableDigest(const RouteTable& table);

/// The difference between two versions of the routing configuration.
///
/// @see RouteHistory
struct RouteDelta {
    /// The version to which the difference can be applied.
    BundleVersion from;
    /// The newer version, of which it has only what was added or changed.
    RouteTable changed;
    std::set<DatabaseId> removedRoutes;
    std::set<GroupId> removedGroups;
    std::set<WorkspaceId> removedWorkspaces;
    /// The digest of the complete newer version.
    RouteTableDigest digest;

    /// @returns the number of routes, groups and workspaces that were added, changed or removed
    std::size_t countEntries() const;
};

/// @returns what must be changed in `older` for `newer`
RouteDelta computeRouteDelta(const RouteTable& older, const RouteTable& newer, RouteTableDigest digest);

/// @param first the earlier difference
/// @param second one that can be applied to the result of the first
/// @returns both in one
RouteDelta mergeRouteDeltas(const RouteDelta& first, const RouteDelta& second);

/// @param failure set when the difference belongs to another version or content than that of `base`
/// @returns the newer version, or nothing
std::optional<RouteTable> applyRouteDelta(const RouteTable& base, const RouteDelta& delta, Failure& failure);

/// @returns a difference as instances send it to each other
nlohmann::json encodeRouteDelta(const RouteDelta& delta);

/// @returns whether a document of another instance is a difference; otherwise it is a complete configuration
bool isRouteDelta(const nlohmann::json& document);

/// @returns a difference, or nothing with all faults in `failure`
std::optional<RouteDelta> decodeRouteDelta(const nlohmann::json& document, Failure& failure);

} // namespace lentiljunction
