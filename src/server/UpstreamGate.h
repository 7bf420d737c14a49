#pragma once

#include "GateConnections.h"
#include "GroupState.h"
#include "KeyPruneSchedule.h"
#include "TransactionTable.h"
#include "lentiljunction/admission/ConcurrencyLimit.h"
#include "lentiljunction/admission/RankQueue.h"
#include "lentiljunction/execution/TransactionRunner.h"
#include "lentiljunction/metrics/Metrics.h"
#include "lentiljunction/peer/PeerMessage.h"
#include "lentiljunction/routing/CatchUpEstimate.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace lentiljunction {

/// The gate of one upstream: its queue, its connections and its running statements.
///
/// Belongs to the traffic thread.
class UpstreamGate {
public:
    using ResponseHandler = std::function<void(HopResponse answer)>;

    /// The role of this instance for the upstream.
    enum class GateRole {
        /// The instance is the gate and keeps idle connections open.
        Gate,
        /// The instance serves requests while the gate cannot be reached, and closes unused connections
        /// after a few seconds.
        Candidate,
        /// The gate moved to another instance: this one finishes its requests and closes each connection
        /// as soon as it is idle.
        Former,
    };

    /// The objects that the gate uses. All must outlive it.
    struct Dependencies {
        Scheduler& loop;
        const Clock& clock;
        Metrics& metrics;
        SqlConnector& connector;
        InstanceId self;
        /// Requests probes of a group at the shortest interval.
        std::function<void(const DatabaseId&)> requestFastProbes;
    };

    /// @param dependencies the objects that the gate uses
    /// @param bundle the configuration in force
    /// @param database the group
    /// @param upstream the upstream
    /// @param group the group's state; must outlive the gate
    UpstreamGate(Dependencies dependencies, const Bundle& bundle, const DatabaseConfig& database, const UpstreamConfig& upstream, GroupState& group);

    /// Applies the configuration of a newer bundle.
    void setBundle(const Bundle& bundle, const DatabaseConfig& database);

    /// Runs a request at once or queues it.
    ///
    /// @param hop the request
    /// @param handler called once
    void execute(HopRequest hop, ResponseHandler handler);

    /// Sets whether the upstream is leaving. A leaving upstream gets no new requests.
    void setLeaving(bool leaving) { this->isLeaving = leaving; }

    /// Sets the role of this instance, which decides how many idle connections are kept.
    void setGateRole(GateRole gateRole);

    /// Queues or refuses the reads that wait for the replica, after the group's state changed.
    void onGroupChanged();

    /// Expires requests and transactions and probes idle connections. Call it every few milliseconds.
    void onTick();

    /// @returns whether no request waits or runs and no transaction is open
    bool isIdle() const;

private:
    /// A request that has no response yet.
    struct PendingRequest {
        HopRequest hop;
        ResponseHandler handler;
        std::optional<TransactionRunner> runner;
        ConnectionPool::Handle connection = 0;
        TimePoint arrivedAt;
        TimePoint deadline;
        TimePoint stepSentAt;
        TimePoint startedAt;
        int numTries = 0;
        int numRunningAtStart = 0;
    };

    /// A read that waits until the replica has applied the log up to a point.
    struct WaitingRead {
        std::shared_ptr<PendingRequest> pending;
        LogPoint point;
        TimePoint giveUpAt;
    };

    std::optional<Outcome> checkBeforeQueue(const PendingRequest& pending);
    bool waitForReplica(const std::shared_ptr<PendingRequest>& pending);
    void enqueue(const std::shared_ptr<PendingRequest>& pending);
    void dispatch();
    bool startNext();
    void start(const std::shared_ptr<PendingRequest>& pending, ConnectionPool::Handle connection);
    void continueTransaction(const std::shared_ptr<PendingRequest>& pending);
    void sendStep(const std::shared_ptr<PendingRequest>& pending, const TransactionRunner::Step& step);
    void onReply(const std::shared_ptr<PendingRequest>& pending, const SqlReply& reply);
    void handleStep(const std::shared_ptr<PendingRequest>& pending, const TransactionRunner::Step& step, bool wasSilent);
    void releaseConnection(const std::shared_ptr<PendingRequest>& pending, bool wasSilent);
    void confirmWrite(const std::shared_ptr<PendingRequest>& pending, const TransactionRunner::Step& step);
    bool retryAfterSilence(const std::shared_ptr<PendingRequest>& pending, bool wasSilent);
    void finish(const std::shared_ptr<PendingRequest>& pending, Outcome outcome, bool isInDoubt, std::optional<LogPoint> point);
    void finishRead(const std::shared_ptr<PendingRequest>& pending, const TransactionRunner::Step& step);
    Duration getStepTimeout(const PendingRequest& pending) const;
    void maintainPool();
    void pruneKeys();
    void expireTransactions();
    void keepTransaction(const std::shared_ptr<PendingRequest>& pending)
    {
        TransactionId& id = pending->hop.request.transaction;
        id = this->transactions.keepOpen(id, pending->connection, this->dependencies.clock.now());
    }

    Dependencies dependencies;
    DatabaseConfig database;
    UpstreamConfig upstream;
    ProfileConfig profile;
    std::chrono::milliseconds transactionIdleTimeout { 0 };
    GroupState& group;
    RankQueue queue;
    ConcurrencyLimit limit;
    GateConnections connections;
    std::map<RankQueue::Ticket, std::shared_ptr<PendingRequest>> queued;
    std::deque<std::shared_ptr<PendingRequest>> retries;
    std::vector<WaitingRead> waitingReads;
    TransactionTable transactions;
    RankQueue::Ticket nextTicket = 1;
    int numRunning = 0;
    bool isLeaving = false;
    KeyPruneSchedule pruning;
    CatchUpEstimate catchUp;
    Duration meanStatementDuration;
};

} // namespace lentiljunction
