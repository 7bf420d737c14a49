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
    using AnswerHandler = std::function<void(HopResponse answer)>;

    /// How this instance stands to the upstream.
    enum class Standing {
        /// It is the gate, and keeps connections ready.
        Gate,
        /// It stands in for the gate, and lets unused connections go soon.
        Candidate,
        /// The gate moved away: it finishes what it has and lets connections go at once.
        Former,
    };

    /// What the gate needs from its surroundings; all must outlive it.
    struct Environment {
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
    UpstreamGate(Environment environment, const Bundle& bundle, const DatabaseConfig& database, const UpstreamConfig& upstream, GroupState& group);

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
    void setStanding(Standing standing);

    /// Takes news from the group's state: releases reads that waited for the replica.
    void onGroupChanged();

    /// Lets time pass; call it every few milliseconds.
    void onTick();

    /// @returns whether nothing waits, runs or is open in a transaction
    bool isIdle() const;

private:
    /// A request from its arrival to its answer.
    struct Work {
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
        std::shared_ptr<Work> work;
        LogPoint point;
        TimePoint giveUpAt;
    };

    std::optional<Outcome> checkBeforeQueue(const Work& work);
    bool waitForReplica(const std::shared_ptr<Work>& work);
    void enqueue(const std::shared_ptr<Work>& work);
    void pump();
    bool startNext();
    void start(const std::shared_ptr<Work>& work, ConnectionPool::Handle connection);
    void continueTransaction(const std::shared_ptr<Work>& work);
    void sendStep(const std::shared_ptr<Work>& work, const TransactionRunner::Step& step);
    void onReply(const std::shared_ptr<Work>& work, const SqlReply& reply);
    void handleStep(const std::shared_ptr<Work>& work, const TransactionRunner::Step& step, bool wasSilent);
    void releaseConnection(const std::shared_ptr<Work>& work, bool wasSilent);
    void confirmWrite(const std::shared_ptr<Work>& work, const TransactionRunner::Step& step);
    bool tryAgain(const std::shared_ptr<Work>& work, bool wasSilent);
    void finish(const std::shared_ptr<Work>& work, Outcome outcome, bool isInDoubt, std::optional<LogPoint> point);
    void finishRead(const std::shared_ptr<Work>& work, const TransactionRunner::Step& step);
    Duration getStepTimeout(const Work& work) const;
    void maintainPool();
    void pruneKeys();
    void expireTransactions();
    void keepTransaction(const std::shared_ptr<Work>& work)
    {
        TransactionId& id = work->hop.request.transaction;
        id = this->transactions.keep(id, work->connection, this->environment.clock.now());
    }

    Environment environment;
    DatabaseConfig database;
    UpstreamConfig upstream;
    ProfileConfig profile;
    std::chrono::milliseconds transactionIdle { 0 };
    GroupState& group;
    RankQueue queue;
    ConcurrencyLimit limit;
    GateConnections connections;
    std::map<RankQueue::Ticket, std::shared_ptr<Work>> queued;
    std::deque<std::shared_ptr<Work>> repeats;
    std::vector<WaitingRead> waitingReads;
    TransactionTable transactions;
    RankQueue::Ticket nextTicket = 1;
    int numRunning = 0;
    bool isLeaving = false;
    KeyPruneSchedule pruning;
    CatchUpEstimate catchUp;
    Duration meanStatement;
};

} // namespace lentiljunction
