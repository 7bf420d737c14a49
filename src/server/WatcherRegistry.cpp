#include "WatcherRegistry.h"

#include <utility>

namespace lentiljunction {

WatcherRegistry::WatcherRegistry(Dependencies dependencies)
    : dependencies(std::move(dependencies))
{
}

void WatcherRegistry::refresh(const Bundle& bundle, const GateMap& gates)
{
    std::map<DatabaseId, std::unique_ptr<GroupWatcher>> refreshed;
    for (const std::pair<const DatabaseId, DatabaseConfig>& entry : bundle.databases) {
        std::unique_ptr<GroupWatcher> watcher = this->reuseOrCreate(bundle, gates, entry.second);
        if (watcher != nullptr)
            refreshed[entry.first] = std::move(watcher);
    }
    this->watchers = std::move(refreshed);
}

GroupWatcher* WatcherRegistry::findOrCreate(const DatabaseId& database, const Bundle* bundle)
{
    GroupWatcher* existing = this->find(database);
    if (existing != nullptr)
        return existing;

    const DatabaseConfig* config = bundle == nullptr ? nullptr : bundle->findDatabase(database);
    if (config == nullptr)
        return nullptr;
    this->watchers[database] = this->create(*config, bundle->getProfile(*config), config->upstreams.front().id);
    return this->watchers[database].get();
}

GroupWatcher* WatcherRegistry::find(const DatabaseId& database) const
{
    std::map<DatabaseId, std::unique_ptr<GroupWatcher>>::const_iterator found = this->watchers.find(database);
    return found == this->watchers.end() ? nullptr : found->second.get();
}

void WatcherRegistry::onTick()
{
    for (std::map<DatabaseId, std::unique_ptr<GroupWatcher>>::iterator entry = this->watchers.begin(); entry != this->watchers.end();) {
        // A former gate would otherwise keep its probe connections, which the limit of the upstream does not provide for.
        if (!entry->second->isNeeded()) {
            entry = this->watchers.erase(entry);
            continue;
        }
        entry->second->onTick();
        ++entry;
    }
}

std::unique_ptr<GroupWatcher> WatcherRegistry::create(const DatabaseConfig& database, const ProfileConfig& profile, const UpstreamId& own) const
{
    return std::make_unique<GroupWatcher>(this->dependencies.loop, this->dependencies.clock, this->dependencies.connector, this->dependencies.listener, database, profile, own);
}

std::unique_ptr<GroupWatcher> WatcherRegistry::reuseOrCreate(const Bundle& bundle, const GateMap& gates, const DatabaseConfig& database)
{
    const UpstreamConfig* own = nullptr;
    bool isGate = false;
    for (const UpstreamConfig& upstream : database.upstreams) {
        bool isGateHere = gates.isGate(this->dependencies.self, upstream.id);
        bool isBetter = own == nullptr || (isGateHere && !isGate);
        if (isBetter && gates.isCandidate(this->dependencies.self, upstream.id))
            own = &upstream;
        isGate = isGate || isGateHere;
    }

    GroupWatcher* existing = this->find(database.id);
    bool isInUse = existing != nullptr && existing->isActive();
    if (own == nullptr || (!isGate && !isInUse))
        return nullptr;

    const ProfileConfig& profile = bundle.getProfile(database);
    bool isSame = existing != nullptr && existing->hasConfiguration(database, profile, own->id);
    std::unique_ptr<GroupWatcher> watcher = isSame ? std::move(this->watchers[database.id]) : this->create(database, profile, own->id);
    watcher->setPromotionAllowed(isGate);
    return watcher;
}

} // namespace lentiljunction
