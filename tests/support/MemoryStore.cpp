#include "MemoryStore.h"

namespace lentiljunction::tests {

std::optional<StoreObject> MemoryStore::get(const std::string& key, Failure& failure)
{
    if (this->takeFault() != CallFault::None) {
        failure.set(Failure::Kind::Unavailable, "the store did not respond");
        return std::nullopt;
    }
    std::map<std::string, StoreObject>::iterator found = this->objects.find(key);
    if (found != this->objects.end())
        return found->second;
    failure.set(Failure::Kind::NotFound, key + " does not exist");
    return std::nullopt;
}

std::optional<StoreVersion> MemoryStore::put(const std::string& key, StoreVersion expected, const std::string& value, Failure& failure)
{
    CallFault injected = this->takeFault();
    if (injected == CallFault::Unavailable) {
        failure.set(Failure::Kind::Unavailable, "the store did not respond");
        return std::nullopt;
    }

    std::map<std::string, StoreObject>::iterator found = this->objects.find(key);
    StoreVersion current = found == this->objects.end() ? StoreVersion() : found->second.version;
    bool isWritten = current == expected;
    if (isWritten)
        this->objects[key] = { key, current.next(), value };
    if (injected == CallFault::AnswerLost) {
        failure.set(Failure::Kind::InDoubt, "the store did not respond");
        return std::nullopt;
    }
    if (isWritten)
        return current.next();
    failure.set(Failure::Kind::Conflict, key + " has another version");
    return std::nullopt;
}

std::optional<std::vector<std::string>> MemoryStore::list(const std::string& prefix, Failure& failure)
{
    if (this->takeFault() != CallFault::None) {
        failure.set(Failure::Kind::Unavailable, "the store did not respond");
        return std::nullopt;
    }
    std::vector<std::string> keys;
    for (const std::pair<const std::string, StoreObject>& entry : this->objects) {
        if (entry.first.compare(0, prefix.size(), prefix) == 0)
            keys.push_back(entry.first);
    }
    return keys;
}

std::optional<StoreWatchResult> MemoryStore::watch(const std::string&, std::uint64_t, Duration, Failure& failure)
{
    failure.set(Failure::Kind::Unavailable, "MemoryStore does not support watches");
    return std::nullopt;
}

MemoryStore::CallFault MemoryStore::takeFault()
{
    if (this->fault == CallFault::None || this->callsBeforeFault < 0)
        return CallFault::None;
    this->callsBeforeFault--;
    return this->callsBeforeFault < 0 ? this->fault : CallFault::None;
}

} // namespace lentiljunction::tests
