#include "MemoryStore.h"

namespace lentiljunction::tests {

std::optional<StoreObject> MemoryStore::get(const std::string& key, Failure& failure)
{
    if (this->takeFault() != CallFault::None) {
        failure.set(Failure::Kind::Unavailable, "no answer");
        return std::nullopt;
    }
    std::map<std::string, StoreObject>::iterator found = this->objects.find(key);
    if (found != this->objects.end())
        return found->second;
    failure.set(Failure::Kind::NotFound, key + " is not there");
    return std::nullopt;
}

std::optional<StoreVersion> MemoryStore::put(const std::string& key, StoreVersion expected, const std::string& value, Failure& failure)
{
    CallFault taken = this->takeFault();
    if (taken == CallFault::Unavailable) {
        failure.set(Failure::Kind::Unavailable, "no answer");
        return std::nullopt;
    }

    std::map<std::string, StoreObject>::iterator found = this->objects.find(key);
    StoreVersion current = found == this->objects.end() ? StoreVersion() : found->second.version;
    bool isWritten = current == expected;
    if (isWritten)
        this->objects[key] = { key, current.next(), value };
    if (taken == CallFault::AnswerLost) {
        failure.set(Failure::Kind::InDoubt, "no answer");
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
        failure.set(Failure::Kind::Unavailable, "no answer");
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
    failure.set(Failure::Kind::Unavailable, "this store has no watches");
    return std::nullopt;
}

MemoryStore::CallFault MemoryStore::takeFault()
{
    if (this->fault == CallFault::None || this->callsUntilFault < 0)
        return CallFault::None;
    this->callsUntilFault--;
    return this->callsUntilFault < 0 ? this->fault : CallFault::None;
}

} // namespace lentiljunction::tests
