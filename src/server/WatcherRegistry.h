#pragma once

#include "GroupWatcher.h"
#include "lentiljunction/routing/GateMap.h"

#include <map>
#include <memory>

namespace lentiljunction {

/// The watchers of the groups that this instance probes: those for which it is a gate, and those
/// for which it recently served requests as the second candidate.
///
/// Belongs to the control thread.
class WatcherRegistry {
public:
    /// The objects that the watchers use. All must outlive the registry.
    struct Dependencies {
        Scheduler& loop;
        const Clock& clock;
        SqlConnector& connector;
        GroupWatcher::Listener& listener;
        InstanceId self;
    };

    /// @param dependencies the objects that the watchers use
    explicit WatcherRegistry(Dependencies dependencies);

    /// Creates and removes watchers to match a bundle and its gates. Watchers whose configuration did
    /// not change are kept together with their reserved terms.
    void refresh(const Bundle& bundle, const GateMap& gates);

    /// @returns the watcher of a group, created if there is none; nullptr if the bundle lacks the group
    GroupWatcher* findOrCreate(const DatabaseId& database, const Bundle* bundle);

    /// @returns the watcher of a group, or nullptr
    GroupWatcher* find(const DatabaseId& database) const;

    /// Calls onTick() of every watcher, and removes those that are no longer needed.
    void onTick();

    /// @returns all watchers, by group
    const std::map<DatabaseId, std::unique_ptr<GroupWatcher>>& getAll() const { return this->watchers; }

private:
    std::unique_ptr<GroupWatcher> create(const DatabaseConfig& database, const ProfileConfig& profile, const UpstreamId& own) const;
    std::unique_ptr<GroupWatcher> reuseOrCreate(const Bundle& bundle, const GateMap& gates, const DatabaseConfig& database);

    Dependencies dependencies;
    std::map<DatabaseId, std::unique_ptr<GroupWatcher>> watchers;
};

} // namespace lentiljunction
