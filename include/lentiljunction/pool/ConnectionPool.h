#pragma once

#include "lentiljunction/core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// The connections of one gate to one upstream, without the sockets.
///
/// One transaction owns a connection from its begin to its proven end. A connection of unknown
/// state is closed and never handed out again. Some connections are opened ahead of need. When one
/// connection turns out silent, all idle ones that are as old are doubted too, because whatever
/// lost track of one has probably lost track of them all.
///
/// Not thread-safe; one traffic thread owns it.
///
/// @code
/// for (ConnectionPool::Handle handle : pool.takeConnectionsToOpen(clock.now()))
///     open(handle);
/// std::optional<ConnectionPool::Handle> connection = pool.acquire(clock.now());
/// @endcode
class ConnectionPool {
public:
    /// Names a connection. Never used twice.
    using Handle = std::uint64_t;

    /// How a connection comes back.
    enum class Condition {
        /// Its last transaction has a proven end.
        Clean,
        /// Its state is not known.
        StateUnknown,
    };

    /// @param maximum connections this gate may have open
    /// @param numWarm connections kept open ahead of need
    ConnectionPool(int maximum, int numWarm);

    /// Sets how many idle connections are kept, for a gate whose standing changed.
    ///
    /// @param newNumWarm kept ahead of need
    /// @param newSpareLifetime idle connections above these are closed when they were not used for this time
    void setRetention(int newNumWarm, Duration newSpareLifetime);

    /// @param numWaiting requests that wait for a connection
    void setDemand(int numWaiting) { this->numWaiting = numWaiting; }

    /// @returns the connections to open now; each is returned once
    std::vector<Handle> takeConnectionsToOpen(TimePoint now);

    /// Notes that an opening succeeded.
    void onOpened(Handle handle, TimePoint now);

    /// Notes that an opening failed, or that an idle connection broke.
    void onLost(Handle handle, TimePoint now);

    /// @returns an idle connection, owned by the caller until it is released, or nothing
    std::optional<Handle> acquire(TimePoint now);

    /// Gives a connection back.
    void release(Handle handle, Condition condition, TimePoint now);

    /// Notes that a connection got no answer, although it looks open. Call it before releasing.
    void onNoReply(Handle handle);

    /// @returns an idle connection that has to be probed, owned by the caller until it is released
    std::optional<Handle> takeProbe(TimePoint now);

    /// @returns connections to close, already forgotten here
    std::vector<Handle> takeConnectionsToClose(TimePoint now);

    /// @returns the number of connections that are opening, idle or owned
    int getNumConnections() const { return static_cast<int>(this->connections.size()); }

    /// @returns the number of idle connections
    int getNumIdle() const;

private:
    enum class State {
        Opening,
        Idle,
        Owned,
    };

    struct Connection {
        State state = State::Opening;
        TimePoint openedAt;
        TimePoint lastProvenAt;
        /// Probes do not count as use, so that an unused connection grows old.
        TimePoint lastUsedAt;
        bool isProbed = false;
    };

    int maximum;
    int numWarm;
    Duration spareLifetime;
    int numWaiting = 0;
    Handle nextHandle = 1;
    std::map<Handle, Connection> connections;
    std::vector<Handle> closings;
    Duration openDelay { 0 };
    TimePoint nextOpening;
};

} // namespace lentiljunction
