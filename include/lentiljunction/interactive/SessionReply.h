#pragma once

#include "lentiljunction/interactive/SessionStatement.h"
#include "lentiljunction/session/TermHistory.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// Why a statement did not succeed.
enum class ReplyCode {
    None,
    /// No capacity; it did not run.
    Busy,
    /// The transaction is rolled back and nothing of it is kept.
    Aborted,
    /// The replica's log does not reach the point that was asked for; it did not run.
    Behind,
    /// The upstream is not the primary, or no longer; it did not run.
    NotPrimary,
    /// Another upstream answers at this address; it did not run.
    WrongUpstream,
    /// The upstream accepts no further connection; it did not run.
    ConnectionLimit,
    /// No statement was prepared under this name; it did not run.
    NoSuchStatement,
    /// It ran and failed.
    Failed,
    /// It may have run; no answer came in time.
    TimedOut,
    /// A commit may stand.
    InDoubt,
    /// No route leads to the database.
    NoDatabase,
    /// The statement cannot be read, or is not allowed in this state.
    Malformed,
};

/// @returns the name of a code for logs and metrics
const char* toString(ReplyCode code);

/// @returns whether an upstream that answers with this code has certainly not run the statement
bool provesNotRun(ReplyCode code);

/// The whole answer to one statement.
struct SessionReply {
    std::vector<std::string> rows;
    /// The upstream's proof that it ran the statement; empty when no upstream was asked.
    std::string signature;
    /// ReplyCode::None when the statement succeeded.
    ReplyCode code = ReplyCode::None;
    std::string message;
    TransactionState state = TransactionState::Idle;
    /// The head of the upstream's log after the statement.
    std::optional<LogPoint> head;

    /// @returns whether the statement succeeded
    bool isSuccess() const { return this->code == ReplyCode::None; }
};

} // namespace lentiljunction
