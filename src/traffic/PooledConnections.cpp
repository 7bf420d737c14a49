#include "PooledConnections.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    bool isSuitable(const PooledConnections::Entry& entry, const PooledConnections::Need& need)
    {
        return entry.isAvailable() && (need.acceptsAnyWorkspace || entry.workspace == need.workspace);
    }

} // namespace

std::unique_ptr<UpstreamConnection> PooledConnections::take(const StatementConnection* connection)
{
    iterator found = std::find_if(this->entries.begin(), this->entries.end(), [connection](const Entry& entry) { return entry.connection.get() == connection; });
    if (found == this->entries.end())
        return nullptr;
    std::unique_ptr<UpstreamConnection> taken = std::move(found->connection);
    this->entries.erase(found);
    return taken;
}

PooledConnections::Entry* PooledConnections::find(const StatementConnection* connection)
{
    iterator found = std::find_if(this->entries.begin(), this->entries.end(), [connection](const Entry& entry) { return entry.connection.get() == connection; });
    return found == this->entries.end() ? nullptr : &*found;
}

PooledConnections::Entry* PooledConnections::findIdle(const Need& need)
{
    // The most recently used connection most likely works, and the others can reach their idle timeout.
    Entry* best = nullptr;
    for (Entry& entry : this->entries) {
        if (isSuitable(entry, need) && (best == nullptr || best->since < entry.since))
            best = &entry;
    }
    return best;
}

bool PooledConnections::hasIdle(const Need& need) const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [&need](const Entry& entry) { return isSuitable(entry, need); });
}

UpstreamConnection* PooledConnections::findFirstIdle() const
{
    const_iterator found = std::find_if(this->entries.begin(), this->entries.end(), [](const Entry& entry) { return entry.isAvailable(); });
    return found == this->entries.end() ? nullptr : found->connection.get();
}

std::vector<UpstreamConnection*> PooledConnections::listUnanswered(TimePoint sentBefore) const
{
    std::vector<UpstreamConnection*> unanswered;
    for (const Entry& entry : this->entries) {
        std::optional<TimePoint> since = entry.connection->getPendingSince();
        if (since && *since < sentBefore)
            unanswered.push_back(entry.connection.get());
    }
    return unanswered;
}

PooledConnections::Entry* PooledConnections::findLongestIdle(const std::function<bool(const WorkspaceId&)>& isKept)
{
    Entry* best = nullptr;
    for (Entry& entry : this->entries) {
        bool isOlder = best == nullptr || entry.since < best->since;
        if (entry.isAvailable() && isOlder && !isKept(entry.workspace))
            best = &entry;
    }
    return best;
}

std::size_t PooledConnections::count(const WorkspaceId& workspace, const std::function<bool(const Entry&)>& condition) const
{
    return static_cast<std::size_t>(std::count_if(this->entries.begin(), this->entries.end(), [&](const Entry& entry) { return entry.workspace == workspace && condition(entry); }));
}

void PooledConnections::sortByAge()
{
    std::sort(this->entries.begin(), this->entries.end(), [](const Entry& left, const Entry& right) { return left.since < right.since; });
}

} // namespace lentiljunction
