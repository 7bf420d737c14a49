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

/// The queue, the connections and the running statements of one upstream at its gate.
///
/// Belongs to the traffic thread.
class UpstreamGate {
public:
    using AnswerHandler = std::function<void(HopAnswer answer)>;

    /// How this instance stands to the upstream.
    enum class GateRole {
        /// It is the gate, and keeps connections ready.
        Gate,
        /// It stands in for the gate, and lets unused connections go soon.
        Candidate,
        /// The gate moved away: it finishes what it has and lets connections go at once.
        Former,
    };

    /// What the gate needs from its surroundings; all must outlive it.
    struct Dependencies {
        Scheduler& loop;
        const Clock& clock;
        Metrics& metrics;
        SqlConnector& connector;
        InstanceId self;
        /// Asks for probes in quick succession.
        std::function<void(const DatabaseId&)> requestFastProbes;
    };

    /// @param environment the surroundings
    /// @param bundle the configuration in force
    /// @param database the group
    /// @param upstream the upstream
    /// @param group the group's state; must outlive the gate
    UpstreamGate(Dependencies dependencies, const Bundle& bundle, const DatabaseConfig& database, const UpstreamConfig& upstream, GroupState& group);

    /// Takes a newer bundle.
    void setBundle(const Bundle& bundle, const DatabaseConfig& database);

    /// Runs a request, now or when its turn comes.
    ///
    /// @param hop the request
    /// @param handler called once
    void execute(HopRequest hop, AnswerHandler handler);

    /// Notes that the upstream leaves, or stays: a leaving one gets no new work.
    void setLeaving(bool leaving) { this->isLeaving = leaving; }

    /// Takes how this instance stands to the upstream now.
    void setGateRole(GateRole gateRole);

    /// Takes news from the group's state: releases reads that waited for the replica.
    void onGroupChanged();

    /// Lets time pass; call it every few milliseconds.
    void onTick();

    /// @returns whether nothing waits, runs or is open in a transaction
    bool isIdle() const;

private:
    /// A request from its arrival to its answer.
    struct PendingRequest {
        HopRequest hop;
        AnswerHandler handler;
        std::optional<TransactionRunner> runner;
        ConnectionPool::Handle connection = 0;
        TimePoint arrivedAt;
        TimePoint deadline;
        TimePoint stepSentAt;
        TimePoint startedAt;
        int numTries = 0;
        int numRunningAtStart = 0;
    };

    /// A read that waits until the replica holds an entry.
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
