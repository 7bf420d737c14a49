#pragma once

#include "../../platform/LineProtocol.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/core/Scheduler.h"
#include "traffic/UpstreamPool.h"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction::tests {

/// An UpstreamPool in front of a fake upstream with slots and a connection limit, on a manual clock.
///
/// Statements and the opening of connections occupy the slots. Each statement names its workspace, which the upstream
/// compares with the name under which the connection was opened.
class PoolBench : private UpstreamPool::Connector, private UpstreamPool::Listener {
public:
    explicit PoolBench(int slots = 4);
    ~PoolBench() override;

    /// Enables connections by workspace.
    ///
    /// @param weights by workspace
    /// @param share connections that the pool may keep open while they are idle
    void setWorkspaces(const std::map<std::string, double>& weights, std::size_t share);

    /// @returns a request that may wait for a while
    ConnectionSource::Request makeRequest(const std::string& workspace, Duration wait) const;

    /// Runs one statement of a workspace, holds its connection for a while afterwards as an open transaction does, and
    /// gives it back.
    ///
    /// @param done receives the time from the request to the reply, or nothing when it was denied or failed
    void run(const std::string& workspace, Duration wait, Duration held, std::function<void(std::optional<Duration>)> done);

    /// Loses all connections that are idle or open.
    void breakConnections();

    void advance(Duration span) { this->scheduler.advance(span); }

    UpstreamPool& getPool() { return *this->pool; }

    ManualClock clock;
    ManualScheduler scheduler { clock };
    Duration serviceTime = std::chrono::milliseconds(8);
    /// Connections that the upstream accepts.
    std::size_t connectionLimit = 70;
    /// Statements that ran on a connection of another workspace, or after their session had returned the connection.
    int numMisused = 0;
    std::size_t numOpenAtMost = 0;

private:
    class Connection;

    std::unique_ptr<UpstreamConnection> open(const UpstreamEntry& upstream, const std::string& user, Duration timeout, UpstreamConnection::Listener& listener) override;
    void onUpstreamUnreachable(const UpstreamEntry&, UpstreamConnection::LossCause) override { }
    void finish(StatementConnection* connection, bool isBroken, TimePoint started, const std::function<void(std::optional<Duration>)>& done);
    void runInSlot(Duration span, std::function<void()> done);
    void startNext();
    void runPeriodically();

    /// Never started: the bench calls what the timers of the pool would call.
    EventLoop loop;
    LineProtocol protocol;
    int numFreeSlots;
    std::deque<std::function<void()>> slotQueue;
    std::set<Connection*> connections;
    std::set<const StatementConnection*> granted;
    std::unique_ptr<UpstreamPool> pool;
};

} // namespace lentiljunction::tests
