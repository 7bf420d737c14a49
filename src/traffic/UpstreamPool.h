#pragma once

#include "IdleTimeoutController.h"
#include "LatencyEstimate.h"
#include "UpstreamConnection.h"
#include "lentiljunction/admission/RankQueue.h"
#include "lentiljunction/admission/SharedLimit.h"

#include <algorithm>
#include <memory>
#include <unordered_map>
#include <vector>

namespace lentiljunction {

/// The connections of this instance to one upstream, and the queue in front of them.
///
/// A connection belongs to one session from the moment it is granted until it is released. It is
/// `active` while a statement runs on it; between the statements of a transaction it is parked, so
/// it does not count against the concurrency of the upstream.
///
/// All instances share the connections that an upstream accepts. Each may keep its share open; beyond
/// it, connections are opened when something waits, and closed again soon after.
///
/// Belongs to the traffic thread. Callbacks may come before the call that causes them returns.
class UpstreamPool : private UpstreamConnection::Listener {
public:
    using Ticket = RankQueue::Ticket;

    /// Why a claim was not granted.
    enum class Denial {
        /// The wait would pass, or has passed, the claim's deadline.
        TooLong,
        /// The upstream cannot be reached.
        Unreachable,
    };

    /// @param link the granted connection, or nullptr with a denial
    using Grant = std::function<void(UpstreamConnection* connection, Denial denial)>;

    /// Is told what the pool learns of the upstream.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// A fresh connection could not be opened.
        virtual void onUpstreamUnreachable(const UpstreamEntry& upstream, UpstreamConnection::LossCause cause) = 0;
    };

    /// What the pool needs of its surroundings. All must outlive it.
    struct Dependencies {
        EventLoop& loop;
        const Clock& clock;
        const SessionProtocol& protocol;
        InstanceId self;
        Listener& listener;
    };

    UpstreamPool(const Dependencies& dependencies, UpstreamEntry upstream);
    ~UpstreamPool() override;

    /// Takes the shares that follow from the number of instances.
    ///
    /// @param maximumConnections what the upstream accepts from all instances together
    /// @param numUsers the instances that are expected to use it at one time
    void setShare(int maximumConnections, std::size_t numUsers);

    /// @returns whether this instance may keep a connection open while nothing needs it
    bool mayKeepIdle() const { return this->share > 0; }

    /// Takes newer facts about the upstream.
    void setUpstream(const UpstreamEntry& newer) { this->upstream = newer; }

    /// Asks for a connection.
    ///
    /// @returns the ticket, or zero when the grant callback has been called already
    Ticket acquire(Rank rank, const CallerId& caller, TimePoint deadline, Grant grant);

    /// Withdraws a claim; its callback is not called.
    void cancelAcquire(Ticket ticket);

    /// Ends the use of a connection in a known, clean state.
    void release(UpstreamConnection* connection);

    /// Ends the use of a connection of unknown state, and closes it.
    void discard(UpstreamConnection* connection);

    /// Notes that the upstream had no room for a statement.
    void onRefused() { this->concurrency.onRefused(); }

    /// Notes that a statement of a transaction is sent on a parked connection.
    void activate(UpstreamConnection* connection);

    /// Notes that the statement under way was answered and the transaction goes on.
    void deactivate(UpstreamConnection* connection);

    /// @returns an idle connection to ask something that takes no slot, or nullptr
    UpstreamConnection* findIdle() const;

    /// Looks, from time to time, whether an upstream that could not be reached can be now.
    void probeIfDue();

    /// Opens a connection ahead of need, or to see whether the upstream can be reached.
    void openConnection();

    /// Closes idle connections that left a question unanswered.
    void closeUnresponsiveIdle(Duration timeout);

    /// Breaks connections off that left any question unanswered for longer than statements may take.
    void failUnresponsive();

    /// Closes everything. Claims that wait are denied.
    void close()
    {
        this->isClosed = true;
        this->denyAll(Denial::Unreachable);
    }

    /// @returns whether the last attempt to open a connection failed
    bool isUnreachable() const { return this->hasFailedToOpen; }

    /// @returns the usual time from a grant to the end of a statement
    Duration getLatency() const { return this->latency.get(this->dependencies.clock.now()); }

    /// @returns statements under way and waiting, per statement that may run at one time
    double getLoad() const { return static_cast<double>(this->getNumRunning() + this->getNumWaiting()) / this->upstream.slots; }

    /// @returns whether an answer is awaited for longer than a span on any connection
    bool isOverdue(Duration timeout) const;

    std::size_t getNumConnections() const { return this->connections.size(); }
    std::size_t getNumRunning() const { return static_cast<std::size_t>(std::max(0, this->numActive)); }

    /// @returns statements in the queue
    std::size_t getNumWaiting() const;

    /// @returns bytes sent and received since the start
    std::uint64_t getNumBytes() const { return this->numBytes; }

    const UpstreamEntry& getUpstream() const { return this->upstream; }

private:
    struct PooledConnection {
        std::unique_ptr<UpstreamConnection> connection;
        bool isOpening = true;
        bool isIdle = false;
        bool isActive = false;
        TimePoint since;
    };

    void onConnectionReady(UpstreamConnection& connection) override;
    void onConnectionBytes(std::size_t number) override { this->numBytes += number; }
    void onConnectionLost(UpstreamConnection& connection, UpstreamConnection::LossCause cause, const std::string& reason) override;
    PooledConnection* find(const UpstreamConnection* connection);
    PooledConnection* findIdlePooled();
    void remove(const UpstreamConnection* connection);
    void finishActive(PooledConnection& pooled);
    void grantWaiting();
    void openIfNeeded();
    void denyAll(Denial denial);
    void denyExpired();
    void setQueueTimer();
    Duration getSurplusIdleTimeout() const;
    void closeSurplus();

    Dependencies dependencies;
    UpstreamEntry upstream;
    std::vector<PooledConnection> connections;
    RankQueue queue;
    SharedLimit concurrency;
    IdleTimeoutController idleController;
    std::unordered_map<Ticket, Grant> grants;
    Ticket nextTicket = 1;
    int numActive = 0;
    std::uint64_t numBytes = 0;
    std::size_t numOpening = 0;
    std::size_t share = 1;
    std::size_t connectionLimit = 1;
    /// The upstream could not be reached. Until it can, nothing waits for it, and from time to time a
    /// connection is opened ahead of need.
    bool hasFailedToOpen = false;
    TimePoint probeAt;
    TimePoint fullUntil;
    Duration backoff { 0 };
    LatencyEstimate latency;
    OneShotTimer queueTimer;
    OneShotTimer surplusTimer;
    bool isClosed = false;
    bool isGranting = false;
};

} // namespace lentiljunction
