#pragma once

#include "lentiljunction/execution/SqlConnection.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// Names a request that may run at most once.
struct IdempotencyKey {
    std::string text;
    /// Milliseconds since the Unix epoch, part of the text.
    std::int64_t issuedAt = 0;
};

/// What is to be done on one connection.
struct TransactionPlan {
    /// The kind of work.
    enum class Kind {
        /// Reads at any upstream.
        Read,
        /// One whole transaction at the primary.
        Write,
        /// The first statements of an interactive transaction.
        Begin,
        /// Further statements of it.
        Continue,
        /// Its last statements and its end.
        Commit,
        /// Its end without effect.
        Rollback,
    };

    Kind kind = Kind::Read;
    std::vector<std::string> statements;
    /// For Write.
    std::optional<IdempotencyKey> key;
    /// The profile's status statement.
    std::string statusSql;
    /// For Read: what the upstream's log must contain.
    std::optional<LogPoint> mustCover;
};

/// Runs one plan on one connection and judges what became of it at every step.
///
/// Pure: it is told what came back and says what to send next. Guarantees that NotRun is given
/// only when no effect can remain, and Unknown only from the moment a COMMIT was sent without an
/// answer.
///
/// @code
/// TransactionRunner runner(plan);
/// TransactionRunner::Step step = runner.start();
/// while (step.kind == TransactionRunner::Step::Kind::Send)
///     step = runner.onReply(sendAndWait(step.sql));
/// @endcode
///
/// @see ConfirmationTracker
class TransactionRunner {
public:
    /// What the owner does next.
    struct Step {
        /// The kind of step.
        enum class Kind {
            /// Send the batch on the connection.
            Send,
            /// The commit is done: answer once `point` is confirmed. The connection is free.
            Confirm,
            /// Answer.
            Finish,
        };

        Kind kind = Kind::Finish;
        std::string sql;
        Outcome outcome;
        /// For Confirm: the entry that must become durable.
        LogPoint point;
        /// The upstream's status read in the same batch, if any.
        std::optional<UpstreamStatus> status;
    };

    /// @param plan the work
    explicit TransactionRunner(TransactionPlan plan);

    /// @returns the first step
    Step start();

    /// @param reply what came back for the batch sent last
    /// @returns the next step
    Step onReply(const SqlReply& reply);

    /// @returns whether the connection has a proven clean state after the last step
    bool isConnectionClean() const { return this->isClean; }

    /// @returns whether the connection still belongs to an open interactive transaction
    bool isTransactionOpen() const { return this->isOpen; }

    /// @returns whether a commit was sent whose fate is not known
    bool isInDoubt() const { return this->inDoubt; }

private:
    enum class Phase {
        Idle,
        Reading,
        Writing,
        InsertingKey,
        CommittingKey,
        LookingUpKey,
        CreatingKeyTable,
        Interactive,
        Committing,
        RollingBack,
    };

    Step send(Phase next, std::string sql);
    Step finish(Outcome outcome);
    Step finishLost();
    Step rollBack(Outcome outcome);
    Step insertKey();
    Step lookUpKey();
    Step onReadReply(const SqlReply& reply);
    Step onWriteReply(const SqlReply& reply);
    Step onInsertReply(const SqlReply& reply);
    Step onLookUpReply(const SqlReply& reply);
    Step onInteractiveReply(const SqlReply& reply);
    Step onCommitReply(const SqlReply& reply, std::size_t commitIndex);
    Step confirm(const ResultSet& statusRow, Outcome outcome);
    Outcome judgeError(const SqlError& error) const;

    TransactionPlan plan;
    Phase phase = Phase::Idle;
    Outcome pendingOutcome;
    int numKeyTries = 0;
    bool isClean = true;
    bool isOpen = false;
    bool inDoubt = false;
};

/// The DDL of the table that remembers idempotency keys.
std::string getKeyTableDdl();

/// @param olderThan keys issued before this time, in milliseconds since the Unix epoch, are removed
/// @returns the statement that prunes keys
std::string getKeyPruneSql(std::int64_t olderThan);

} // namespace lentiljunction
