#pragma once

#include "lentiljunction/workspaces/KeyDigest.h"
#include "lentiljunction/workspaces/WorkspaceId.h"

#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>

namespace lentiljunction {

/// The configuration of one workspace.
struct WorkspaceConfig {
    WorkspaceId name;
    /// The digests of its API keys.
    std::set<KeyDigest> keys;
    /// Operations per second that all instances together may send to upstreams. Infinite without a limit.
    double ratePerSecond = std::numeric_limits<double>::infinity();
    /// Operations that may be sent in addition to the rate after a pause. Infinite without a limit.
    double burst = std::numeric_limits<double>::infinity();

    /// @returns whether the operations of the workspace are limited
    bool hasLimit() const { return std::isfinite(this->ratePerSecond) && std::isfinite(this->burst); }
};

/// The workspaces of one version of the routing configuration.
///
/// Not thread-safe while workspaces are added; afterwards any thread may read it.
///
/// @see RouteTable
class WorkspaceTable {
public:
    /// Why a workspace was not added.
    enum class Conflict {
        None,
        NameExists,
        /// Another workspace holds one of the keys.
        KeyExists,
    };

    /// Adds a workspace, unless its name or one of its keys exists.
    Conflict add(WorkspaceConfig workspace);

    /// @returns the workspace that holds a key, or nullptr
    const WorkspaceConfig* find(const KeyDigest& key) const;

    /// @returns the workspace of a name, or nullptr
    const WorkspaceConfig* find(const WorkspaceId& name) const;

    /// @returns all workspaces by name
    const std::map<WorkspaceId, WorkspaceConfig>& getAll() const { return this->workspaces; }

private:
    std::map<WorkspaceId, WorkspaceConfig> workspaces;
    std::unordered_map<KeyDigest, WorkspaceId> owners;
};

} // namespace lentiljunction
