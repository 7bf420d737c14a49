#include "lentiljunction/pool/ConnectionPool.h"

#include "lentiljunction/core/ProcessEnd.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    constexpr Duration initialOpenDelay = std::chrono::milliseconds(20);
    constexpr Duration maximumOpenDelay = std::chrono::seconds(1);
    /// An idle connection is probed when its last reply is this old.
    constexpr Duration probeInterval = std::chrono::seconds(1);
    /// Idle connections beyond the warm ones are closed after this time, unless setRetention() changes it.
    constexpr Duration defaultSpareLifetime = std::chrono::seconds(30);

} // namespace

ConnectionPool::ConnectionPool(int maximum, int numWarm)
    : maximum(maximum)
    , numWarm(numWarm)
    , spareLifetime(defaultSpareLifetime)
{
}

void ConnectionPool::setRetention(int newNumWarm, Duration newSpareLifetime)
{
    this->numWarm = newNumWarm;
    this->spareLifetime = newSpareLifetime;
}

std::vector<ConnectionPool::Handle> ConnectionPool::takeConnectionsToOpen(TimePoint now)
{
    std::vector<Handle> openings;
    if (now < this->nextOpenAt)
        return openings;

    int numAvailable = 0;
    for (const std::pair<const Handle, Connection>& entry : this->connections) {
        if (entry.second.state != State::Owned)
            numAvailable++;
    }

    int numMissing = this->numWarm + this->numWaiting - numAvailable;
    int numAllowed = this->maximum - this->getNumConnections();
    for (int count = std::min(numMissing, numAllowed); count > 0; count--) {
        Handle handle = this->nextHandle++;
        this->connections[handle] = Connection();
        openings.push_back(handle);
    }
    return openings;
}

void ConnectionPool::onOpened(Handle handle, TimePoint now)
{
    std::map<Handle, Connection>::iterator found = this->connections.find(handle);
    checkInvariant(found != this->connections.end() && found->second.state == State::Opening, "a connection that was opening has been opened");
    found->second = { State::Idle, now, now, now, false };
    this->openDelay = Duration(0);
}

void ConnectionPool::onLost(Handle handle, TimePoint now)
{
    std::map<Handle, Connection>::iterator found = this->connections.find(handle);
    if (found == this->connections.end())
        return;

    if (found->second.state == State::Opening) {
        this->openDelay = std::clamp(this->openDelay * 2, initialOpenDelay, maximumOpenDelay);
        this->nextOpenAt = now + this->openDelay;
    }
    this->connections.erase(found);
}

std::optional<ConnectionPool::Handle> ConnectionPool::acquire(TimePoint)
{
    std::map<Handle, Connection>::iterator best = this->connections.end();
    for (std::map<Handle, Connection>::iterator entry = this->connections.begin(); entry != this->connections.end(); ++entry) {
        bool isBetter = best == this->connections.end() || best->second.lastVerifiedAt <= entry->second.lastVerifiedAt;
        if (entry->second.state == State::Idle && isBetter)
            best = entry;
    }
    if (best == this->connections.end())
        return std::nullopt;

    best->second.state = State::Owned;
    return best->first;
}

void ConnectionPool::release(Handle handle, Condition condition, TimePoint now)
{
    std::map<Handle, Connection>::iterator found = this->connections.find(handle);
    if (found == this->connections.end())
        return;

    checkInvariant(found->second.state == State::Owned, "a connection is released by its owner");
    if (condition == Condition::StateUnknown) {
        this->closings.push_back(handle);
        this->connections.erase(found);
        return;
    }
    found->second.state = State::Idle;
    found->second.lastVerifiedAt = now;
    if (!found->second.isProbed)
        found->second.lastUsedAt = now;
    found->second.isProbed = false;
}

void ConnectionPool::onNoReply(Handle handle)
{
    std::map<Handle, Connection>::iterator silent = this->connections.find(handle);
    if (silent == this->connections.end())
        return;

    TimePoint openedAt = silent->second.openedAt;
    for (std::map<Handle, Connection>::iterator entry = this->connections.begin(); entry != this->connections.end();) {
        bool isSuspect = entry->second.state == State::Idle && entry->second.openedAt <= openedAt;
        if (!isSuspect) {
            ++entry;
            continue;
        }
        this->closings.push_back(entry->first);
        entry = this->connections.erase(entry);
    }
}

std::optional<ConnectionPool::Handle> ConnectionPool::takeProbe(TimePoint now)
{
    for (std::pair<const Handle, Connection>& entry : this->connections) {
        bool isProbeDue = entry.second.state == State::Idle && now - entry.second.lastVerifiedAt >= probeInterval;
        if (!isProbeDue)
            continue;
        entry.second.state = State::Owned;
        entry.second.isProbed = true;
        return entry.first;
    }
    return std::nullopt;
}

std::vector<ConnectionPool::Handle> ConnectionPool::takeConnectionsToClose(TimePoint now)
{
    int numSpare = this->getNumIdle() - this->numWarm;
    for (std::map<Handle, Connection>::iterator entry = this->connections.begin(); entry != this->connections.end() && numSpare > 0;) {
        bool isExpired = entry->second.state == State::Idle && now - entry->second.lastUsedAt >= this->spareLifetime;
        if (!isExpired) {
            ++entry;
            continue;
        }
        this->closings.push_back(entry->first);
        entry = this->connections.erase(entry);
        numSpare--;
    }

    std::vector<Handle> taken;
    taken.swap(this->closings);
    return taken;
}

int ConnectionPool::getNumIdle() const
{
    return static_cast<int>(std::count_if(this->connections.begin(), this->connections.end(), [](const std::pair<const Handle, Connection>& entry) { return entry.second.state == State::Idle; }));
}

} // namespace lentiljunction
