#include "ObjectStore.h"

#include <chrono>

namespace lentiljunction::standins {

std::optional<ObjectStore::Object> ObjectStore::get(const std::string& key)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, Object>::iterator found = this->objects.find(key);
    if (found == this->objects.end())
        return std::nullopt;
    return found->second;
}

ObjectStore::PutResult ObjectStore::put(const std::string& key, std::uint64_t expected, const std::string& value)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, Object>::iterator found = this->objects.find(key);
    std::uint64_t current = found == this->objects.end() ? 0 : found->second.version;
    if (current != expected)
        return { false, current };

    this->revision++;
    this->objects[key] = { key, current + 1, this->revision, value };
    this->changed.notify_all();
    return { true, current + 1 };
}

std::vector<std::string> ObjectStore::list(const std::string& prefix)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> keys;
    for (std::map<std::string, Object>::iterator entry = this->objects.lower_bound(prefix); entry != this->objects.end(); ++entry) {
        if (entry->first.compare(0, prefix.size(), prefix) != 0)
            break;
        keys.push_back(entry->first);
    }
    return keys;
}

ObjectStore::Changes ObjectStore::watch(const std::string& prefix, std::uint64_t afterRevision, std::chrono::milliseconds limit)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, limit, [&] { return !this->collectChanges(prefix, afterRevision).objects.empty(); });
    return this->collectChanges(prefix, afterRevision);
}

ObjectStore::Changes ObjectStore::collectChanges(const std::string& prefix, std::uint64_t afterRevision) const
{
    Changes changes;
    changes.revision = this->revision;
    for (std::map<std::string, Object>::const_iterator entry = this->objects.lower_bound(prefix); entry != this->objects.end(); ++entry) {
        if (entry->first.compare(0, prefix.size(), prefix) != 0)
            break;
        if (entry->second.revision > afterRevision)
            changes.objects.push_back(entry->second);
    }
    return changes;
}

} // namespace lentiljunction::standins
