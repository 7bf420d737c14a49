#pragma once

#include "GroupWatcher.h"
#include "lentiljunction/routing/GateMap.h"

#include <map>
#include <memory>

namespace lentiljunction {

/// The groups that this instance watches: those it is a gate of, and those that it was asked to
/// serve a moment ago as the second candidate.
///
/// Belongs to the control thread.
class WatcherRegistry {
public:
    /// What watchers work with; all must outlive the registry.
    struct Dependencies {
        Scheduler& loop;
        const Clock& clock;
        SqlConnector& connector;
        GroupWatcher::Listener& listener;
        InstanceId self;
    };

    /// @param environment what watchers work with
    explicit WatcherRegistry(Dependencies dependencies);

    /// Makes, keeps and drops watchers for a bundle and its gates. Watchers whose configuration did
    /// not change are kept, with their terms.
    void refresh(const Bundle& bundle, const GateMap& gates);

    /// @returns the watcher of a group, made if need be; nullptr for a group the bundle does not know
    GroupWatcher* findOrCreate(const DatabaseId& database, const Bundle* bundle);

    /// @returns the watcher of a group, or nullptr
    GroupWatcher* find(const DatabaseId& database) const;

    /// Lets time pass.
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
