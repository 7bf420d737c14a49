#pragma once

#include "lentiljunction/execution/SqlConnection.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// Identifies a request that may be executed at most once.
struct IdempotencyKey {
    std::string text;
    /// Milliseconds since the Unix epoch, part of the text.
    std::int64_t issuedAt = 0;
};

/// The work to execute on one connection.
struct TransactionPlan {
    /// The kind of work.
    enum class Kind {
        /// Reads on any upstream.
        Read,
        /// One complete transaction on the primary.
        Write,
        /// The first statements of an interactive transaction.
        Begin,
        /// Further statements of an interactive transaction.
        Continue,
        /// The last statements of an interactive transaction and its COMMIT.
        Commit,
        /// The ROLLBACK of an interactive transaction.
        Rollback,
    };

    Kind kind = Kind::Read;
    std::vector<std::string> statements;
    /// For Write.
    std::optional<IdempotencyKey> key;
    /// The profile's status statement.
    std::string statusSql;
    /// For Read: the entry that the upstream's log must contain.
    std::optional<LogPoint> requiredPoint;
};

/// Executes one plan on one connection and determines its outcome, whichever step fails.
///
/// Does no I/O: it receives replies and returns the next step. The outcome is NotRun only if the plan
/// cannot have taken effect, and Unknown only if a COMMIT was sent and not answered.
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
    /// What the owner has to do next.
    struct Step {
        /// The kind of step.
        enum class Kind {
            /// Send the batch on the connection.
            Send,
            /// The transaction is committed: answer once `point` is confirmed. The connection is free.
            Confirm,
            /// Answer with `outcome`.
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

    /// @param plan the work to execute
    explicit TransactionRunner(TransactionPlan plan);

    /// @returns the first step
    Step start();

    /// @param reply the reply to the last batch
    /// @returns the next step
    Step onReply(const SqlReply& reply);

    /// @returns whether the connection is known to be outside a transaction after the last step
    bool isConnectionClean() const { return this->isClean; }

    /// @returns whether the connection still holds an open interactive transaction
    bool isTransactionOpen() const { return this->isOpen; }

    /// @returns whether a COMMIT was sent whose result is unknown
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
    Outcome classifyError(const SqlError& error) const;

    TransactionPlan plan;
    Phase phase = Phase::Idle;
    Outcome pendingOutcome;
    int numKeyAttempts = 0;
    bool isClean = true;
    bool isOpen = false;
    bool inDoubt = false;
};

/// @returns the DDL of the table that stores idempotency keys
std::string getKeyTableDdl();

/// @param olderThan keys issued before this time, in milliseconds since the Unix epoch, are removed
/// @returns the statement that deletes expired keys
std::string getKeyPruneSql(std::int64_t olderThan);

} // namespace lentiljunction
