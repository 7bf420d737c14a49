#pragma once

#include "../../platform/LineProtocol.h"
#include "lending/BorrowingSource.h"
#include "lending/Lender.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/core/Scheduler.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction::tests {

/// The connections of one instance to one upstream: opens connections on demand up to a limit, and runs each
/// command after a fixed time. Closes an idle connection of another workspace at the limit.
class FakeSource : public ConnectionSource {
public:
    FakeSource(const Clock& clock, ManualScheduler& scheduler, UpstreamEntry upstream);
    ~FakeSource() override;

    Ticket acquire(const Request& request, Grant grant) override;
    void cancelAcquire(Ticket ticket) override;
    void release(StatementConnection* connection) override;
    void discard(StatementConnection* connection) override;
    void onRefused(StatementConnection*) override { }
    void activate(StatementConnection* connection) override;
    void deactivate(StatementConnection* connection) override;
    void probeIfDue() override { }
    bool isUnreachable() const override { return this->isCut; }
    bool hasIdle() const override { return !this->idle.empty(); }
    Duration getLatency() const override { return std::chrono::milliseconds(8); }
    double getLoad() const override { return 0; }
    Duration getExpectedWait(Rank) const override { return std::chrono::milliseconds(70); }
    const UpstreamEntry& getUpstream() const override { return this->upstream; }

    /// Loses the connections that are in use.
    void breakUsed();

    std::size_t limit = 4;
    bool isCut = false;
    std::size_t numOpened = 0;
    std::size_t numClosed = 0;
    std::size_t numActive = 0;
    /// The text of every command that ran, in order.
    std::vector<std::string> executed;
    /// The first command that ran on a connection which its session had returned or closed.
    std::string misuse;
    /// The workspaces whose commands ran, by the workspace of the connection.
    std::map<std::string, std::set<std::string>> workspacesRun;

private:
    class Connection;
    struct Waiting {
        Grant grant;
        WorkspaceId workspace;
    };

    void grantWaiting();
    std::shared_ptr<Connection> takeIdle(const WorkspaceId& workspace);
    void expire(Ticket ticket);

    const Clock& clock;
    ManualScheduler& scheduler;
    UpstreamEntry upstream;
    std::map<const StatementConnection*, std::shared_ptr<Connection>> used;
    std::vector<std::shared_ptr<Connection>> idle;
    std::set<const StatementConnection*> active;
    std::map<Ticket, Waiting> waiting;
    Ticket nextTicket = 1;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

/// Instances of one availability zone that lend connections to each other, on a manual clock. Borrower, Lender and
/// BorrowingSource are the production ones; links and connections are fakes.
class LendingBench {
public:
    /// @param numInstances the first ones are the lenders of the upstream
    LendingBench(std::size_t numInstances, std::size_t numLenders);
    ~LendingBench();

    /// One instance.
    struct Instance;

    BorrowingSource& getSource(std::size_t instance);
    FakeSource& getOwn(std::size_t instance);
    Lender& getLender(std::size_t instance);
    Borrower& getBorrower(std::size_t instance);

    /// Lets an instance lend without regard to workspaces, as an earlier version does.
    void setEarlierVersion(std::size_t instance);

    /// Holds back all messages to and from an instance until thaw().
    void freeze(std::size_t instance);
    void thaw(std::size_t instance);

    /// Closes the links of an instance and stops it for good; the connections that it had are closed.
    void kill(std::size_t instance);

    void advance(Duration span) { this->scheduler.advance(span); }

    ManualClock clock;
    ManualScheduler scheduler { clock };
    LineProtocol protocol;

private:
    void deliver(std::size_t from, std::size_t to, std::function<void()> message);
    void runPeriodically();

    std::vector<std::unique_ptr<Instance>> instances;
    /// Messages held back by a frozen instance, in order.
    std::map<std::size_t, std::vector<std::function<void()>>> heldBack;
};

/// @returns a request without a session
ConnectionSource::Request makeConnectionRequest(TimePoint deadline);

} // namespace lentiljunction::tests
