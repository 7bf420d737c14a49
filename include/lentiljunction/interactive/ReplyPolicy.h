#pragma once

#include "lentiljunction/interactive/SessionReply.h"

namespace lentiljunction {

/// What kind of statement an upstream was asked to run.
struct StatementTraits {
    /// Whether the statement itself may change data. A commit counts as a write if its transaction wrote.
    AccessMode mode = AccessMode::Read;
    bool isInTransaction = false;
    bool isCommit = false;
    /// No earlier statement of the transaction ran on the connection.
    bool isFirst = true;
};

/// What became of an attempt to run a statement.
enum class AttemptOutcome {
    /// No connection could be had; nothing was sent.
    NotSent,
    /// The upstream answered that it did not run.
    NotRun,
    /// The upstream ran it and answered with an error.
    Error,
    /// The connection broke after the statement was sent.
    ConnectionLost,
    /// The statement's time is over and it was sent.
    TimedOut,
    /// The upstream answered with success.
    Success,
    /// Success from an upstream that may not have been the primary any more.
    SuccessUnverified,
};

/// What to do after an attempt.
struct ReplyDecision {
    enum class Kind {
        /// Pass the upstream's answer on as it is.
        Deliver,
        /// Try again, on this upstream or another.
        Retry,
        /// Answer with `code` and `state`.
        Answer,
    };

    Kind kind = Kind::Deliver;
    ReplyCode code = ReplyCode::None;
    TransactionState state = TransactionState::Idle;
};

/// Decides what a caller is told, so that a refusal is always true.
///
/// Busy and Aborted promise that nothing of the statement, or of its transaction, is kept. InDoubt
/// and TimedOut promise nothing. docs/operating/answers.md holds the table in full.
///
/// @param mayRetry whether time and attempts are left
ReplyDecision decideReply(const StatementTraits& statement, AttemptOutcome outcome, bool mayRetry);

} // namespace lentiljunction
