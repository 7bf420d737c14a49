#pragma once

#include "../net/OneShotTimer.h"
#include "ConnectionQueue.h"
#include "IdleTimeoutController.h"
#include "LatencyEstimate.h"
#include "ReplyMemory.h"
#include "lentiljunction/admission/SharedConcurrencyLimit.h"
#include "lentiljunction/interactive/SessionProtocol.h"

#include <algorithm>
#include <memory>
#include <string>

namespace lentiljunction {

/// The connections of this instance to one upstream, and the queue in front of them.
///
/// All instances share the connections that an upstream accepts. Each may keep its share open. More
/// connections are opened while statements wait, and are closed again soon after.
///
/// Where the deployment has workspaces, each connection is opened under the name of one and serves only its
/// requests. A request without an idle connection of its workspace keeps its turn in the queue while one is opened,
/// and others start meanwhile. Beyond the share of this instance, the connection that was idle for longest is closed
/// first.
///
/// Not thread-safe; the traffic thread owns it. Callbacks may run before the call that causes them returns.
class UpstreamPool : public ConnectionSource, private UpstreamConnection::Listener {
public:
    /// Receives what the pool detects about the upstream.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// A new connection could not be opened.
        virtual void onUpstreamUnreachable(const UpstreamEntry& upstream, UpstreamConnection::LossCause cause) = 0;
    };

    /// Opens connections; tests replace it.
    class Connector {
    public:
        virtual ~Connector() = default;

        /// Starts to open a connection.
        ///
        /// @param user the name under which the connection is opened
        virtual std::unique_ptr<UpstreamConnection> open(const UpstreamEntry& upstream, const std::string& user, Duration timeout, UpstreamConnection::Listener& listener) = 0;
    };

    /// The objects that the pool uses. All must outlive it.
    struct Dependencies {
        EventLoop& loop;
        const Clock& clock;
        const SessionProtocol& protocol;
        InstanceId self;
        Listener& listener;
        /// Opens the connections; they are opened over TCP when it is nullptr.
        Connector* connector = nullptr;
        /// Accounts for long replies; null where there are none.
        ReplyMemory* replyMemory = nullptr;
    };

    /// What became of requests and connections since the start.
    struct Counters {
        std::uint64_t numOpened = 0;
        std::uint64_t numGrants = 0;
        /// Grants of requests that found an idle connection when they arrived.
        std::uint64_t numGrantsOfIdle = 0;
        /// Idle connections that were closed to make room for one of another workspace.
        std::uint64_t numReplaced = 0;
    };

    UpstreamPool(const Dependencies& dependencies, UpstreamEntry upstream);
    ~UpstreamPool() override;

    /// Sets the share of connections of this instance.
    ///
    /// @param maximumConnections connections that the upstream accepts from all instances together
    /// @param numUsers instances that are expected to use the upstream at the same time
    void setShare(int maximumConnections, std::size_t numUsers);

    /// Limits the connections of this instance, below the limit of the upstream.
    void setMaximum(std::size_t maximum) { this->connectionLimit = std::min(this->connectionLimit, maximum); }

    /// Sets the connections that this instance may keep open while they are idle, whatever the others need.
    void setIdleShare(std::size_t number);

    /// Sets the workspaces among which the requests share; nullptr when the deployment has none.
    void setWorkspaces(std::shared_ptr<const WorkspaceWeights> newer) { this->queue.setWorkspaces(std::move(newer)); }

    /// Replaces the limit on concurrent statements.
    void setConcurrencyPolicy(std::unique_ptr<ConcurrencyPolicy> policy) { this->concurrency = std::move(policy); }

    /// @returns what the limit on concurrent statements is based on, or nothing when it is not discovered
    std::optional<ConcurrencyPolicy::Evidence> getCapacityEvidence() const { return this->concurrency->getEvidence(); }

    /// @returns whether this instance may keep an idle connection open
    bool mayKeepIdle() const { return this->share > 0; }

    /// Updates the description of the upstream.
    void setUpstream(const UpstreamEntry& newer) { this->upstream = newer; }

    Ticket acquire(const Request& request, Grant grant) override;
    void cancelAcquire(Ticket ticket) override { this->queue.cancel(ticket); }
    void release(StatementConnection* connection) override;
    void discard(StatementConnection* connection) override;
    void onRefused(StatementConnection*) override { this->concurrency->onRefused(); }
    void activate(StatementConnection* connection) override;
    void deactivate(StatementConnection* connection) override;

    /// @returns an idle connection for a command that takes no slot of the upstream, or nullptr
    UpstreamConnection* findIdle() const { return this->connections.findFirstIdle(); }

    void probeIfDue() override;

    /// Opens a connection in advance, or to test whether the upstream is reachable.
    void openConnection() { this->openConnection(WorkspaceId()); }

    /// Closes idle connections with a command that is unanswered for longer than the timeout.
    void closeUnresponsiveIdle(Duration timeout);

    /// Fails connections with a command that is unanswered for longer than any statement may take.
    void failUnresponsive();

    /// Closes the pool and denies waiting requests.
    void close()
    {
        this->isClosed = true;
        this->denyAll(Denial::Unreachable);
    }

    /// Denies the requests whose deadline is over. Call this several times a second while requests wait.
    void denyExpired();

    /// Closes idle connections beyond the share of this instance.
    void closeSurplus();

    const Counters& getCounters() const { return this->counters; }

    bool isUnreachable() const override { return this->hasFailedToOpen; }
    bool hasIdle() const override { return this->findIdle() != nullptr; }
    Duration getLatency() const override { return this->latency.get(this->dependencies.clock.now()); }
    double getLoad() const override { return static_cast<double>(this->getNumRunning() + this->getNumWaiting()) / this->upstream.slots; }

    std::optional<Forecast> forecast(const Request& request) const override;

    /// @returns whether any connection has a command that is unanswered for longer than the timeout
    bool isOverdue(Duration timeout) const { return !this->connections.listUnanswered(this->dependencies.clock.now() - timeout).empty(); }

    std::size_t getNumConnections() const { return this->connections.size(); }
    std::size_t getNumRunning() const { return static_cast<std::size_t>(std::max(0, this->numActive)); }

    /// @returns requests in the queue
    std::size_t getNumWaiting() const { return this->queue.size(); }

    /// @returns bytes sent and received since the start
    std::uint64_t getNumBytes() const { return this->numBytes; }

    Duration getExpectedWait(Rank rank) const override { return this->queue.getExpectedWait(rank, this->getLatency()); }

    const UpstreamEntry& getUpstream() const override { return this->upstream; }

private:
    using PooledConnection = PooledConnections::Entry;

    void onConnectionReady(UpstreamConnection& connection) override;
    void onConnectionBytes(std::size_t number) override { this->numBytes += number; }
    void onConnectionLost(UpstreamConnection& connection, UpstreamConnection::LossCause cause, const std::string& reason) override;
    PooledConnection* findReplaceable(const WorkspaceId& newcomer, bool includesWanted);
    void openConnection(const WorkspaceId& workspace);
    bool mustOpenFor(const PooledConnections::Need& need) const;
    bool mayOpenMore(const WorkspaceId& workspace) const;
    /// @returns the connections of a workspace that will be available soon: an open transaction is not expected to end
    std::size_t countExpected(const WorkspaceId& workspace) const;
    bool makeRoomFor(const WorkspaceId& workspace, bool isNext);
    void onUpstreamFull();
    void remove(const StatementConnection* connection);
    Grant rememberKind(const Request& request, Grant grant);
    void finishActive(PooledConnection& pooled);
    void grantWaiting();
    void openIfNeeded();
    void denyAll(Denial denial);
    void setQueueTimer();
    Duration getSurplusIdleTimeout() const;

    Dependencies dependencies;
    UpstreamEntry upstream;
    PooledConnections connections;
    ConnectionQueue queue;
    std::unique_ptr<ConcurrencyPolicy> concurrency;
    IdleTimeoutController idleController;
    Counters counters;
    int numActive = 0;
    std::uint64_t numBytes = 0;
    std::size_t numOpening = 0;
    /// Connections that this instance may keep open while they are idle.
    std::size_t share = 1;
    /// Connections that the upstream accepts, without those reserved for the failover coordinator.
    std::size_t connectionLimit = 1;
    /// The last connection attempt failed. Until one succeeds, requests are denied unless a connection is
    /// idle, and a connection is tried after each backoff.
    bool hasFailedToOpen = false;
    TimePoint probeAt;
    /// Until when no connection is opened, because the upstream reported its connection limit.
    TimePoint fullUntil;
    Duration backoff { 0 };
    LatencyEstimate latency;
    OneShotTimer queueTimer;
    OneShotTimer surplusTimer;
    bool isClosed = false;
    bool isGranting = false;
};

} // namespace lentiljunction
