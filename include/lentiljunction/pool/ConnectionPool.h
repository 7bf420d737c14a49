#pragma once

#include "lentiljunction/core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Manages the connections of one gate to one upstream. Tracks states only; the owner holds the sockets.
///
/// A transaction owns its connection exclusively from its start until its end is confirmed. A connection
/// in an unknown state is closed and never reused. Some connections are opened before they are needed.
/// When one connection stops responding, all idle connections of the same age or older are closed too:
/// whatever dropped the state of one, for example a firewall, has probably dropped the state of all.
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
    /// Identifies a connection; never reused.
    using Handle = std::uint64_t;

    /// The state of a connection when it is released.
    enum class Condition {
        /// The end of its last transaction is confirmed.
        Clean,
        /// The state of its last transaction is unknown.
        StateUnknown,
    };

    /// @param maximum the number of connections that this gate may open
    /// @param numWarm the number of idle connections to keep open in advance
    ConnectionPool(int maximum, int numWarm);

    /// Sets how many idle connections are kept, for example when the instance becomes or stops being the gate.
    ///
    /// @param newNumWarm the number of idle connections to keep open in advance
    /// @param newSpareLifetime the time after which unused idle connections beyond these are closed
    void setRetention(int newNumWarm, Duration newSpareLifetime);

    /// @param numWaiting the number of requests that wait for a connection
    void setDemand(int numWaiting) { this->numWaiting = numWaiting; }

    /// @returns the connections to open now; each is returned once
    std::vector<Handle> takeConnectionsToOpen(TimePoint now);

    /// Records that a connection was opened.
    void onOpened(Handle handle, TimePoint now);

    /// Records that opening a connection failed, or that an idle connection broke.
    void onLost(Handle handle, TimePoint now);

    /// @returns an idle connection, which the caller owns until it releases it, or nothing
    std::optional<Handle> acquire(TimePoint now);

    /// Returns a connection to the pool.
    void release(Handle handle, Condition condition, TimePoint now);

    /// Records that a connection gave no reply although its socket is open. Call this before release().
    void onNoReply(Handle handle);

    /// @returns an idle connection to probe, which the caller owns until it releases it, or nothing
    std::optional<Handle> takeProbe(TimePoint now);

    /// @returns the connections to close, which are already removed from the pool
    std::vector<Handle> takeConnectionsToClose(TimePoint now);

    /// @returns the number of opening, idle and owned connections
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
        TimePoint lastVerifiedAt;
        /// Not updated by probes, so that an unused connection reaches its lifetime.
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
    TimePoint nextOpenAt;
};

} // namespace lentiljunction
