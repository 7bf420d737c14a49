#pragma once

#include "lentiljunction/interactive/SessionReply.h"

namespace lentiljunction {

/// The properties of a statement that decide how its failures are reported.
struct StatementTraits {
    /// Whether the statement may change data. A commit counts as a write if its transaction wrote.
    AccessMode mode = AccessMode::Read;
    bool isInTransaction = false;
    bool isCommit = false;
    /// Whether no earlier statement of the transaction ran on the connection.
    bool isFirst = true;
};

/// The outcome of an attempt to run a statement on an upstream.
enum class AttemptOutcome {
    /// No connection was available; nothing was sent.
    NotSent,
    /// The upstream replied that it did not run the statement.
    NotRun,
    /// The upstream ran the statement and replied with an error.
    Error,
    /// The upstream ran a read outside a transaction and replied with an error that another upstream may not give.
    ErrorOfUpstream,
    /// The connection broke after the statement was sent.
    ConnectionLost,
    /// The statement was sent and its deadline passed.
    TimedOut,
    /// The upstream replied with success.
    Success,
    /// The upstream replied with success, but may have been replaced as primary before.
    SuccessUnverified,
};

/// What to do after an attempt.
struct ReplyDecision {
    enum class Kind {
        /// Forward the upstream's reply unchanged.
        Deliver,
        /// Retry on the same upstream or another one.
        Retry,
        /// Reply with `code` and `state`.
        Answer,
    };

    Kind kind = Kind::Deliver;
    ReplyCode code = ReplyCode::None;
    TransactionState state = TransactionState::Idle;
};

/// Decides the reply to a caller, so that no statement is reported as refused that may have taken effect.
///
/// Busy and Aborted guarantee that the statement, or its transaction, had no effect. InDoubt and TimedOut
/// guarantee nothing. docs/operating/answers.md contains the full table.
///
/// @param mayRetry whether time and attempts are left
ReplyDecision decideReply(const StatementTraits& statement, AttemptOutcome outcome, bool mayRetry);

} // namespace lentiljunction
