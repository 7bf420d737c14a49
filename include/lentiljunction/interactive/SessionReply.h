#pragma once

#include "lentiljunction/interactive/RowList.h"
#include "lentiljunction/interactive/SessionStatement.h"
#include "lentiljunction/session/TermHistory.h"

#include <memory>
#include <optional>
#include <string>

namespace lentiljunction {

/// Why a statement did not succeed.
enum class ReplyCode {
    None,
    /// No capacity; the statement did not run.
    Busy,
    /// The transaction is rolled back and had no effect.
    Aborted,
    /// The replica's log does not reach the required point; the statement did not run.
    Behind,
    /// The upstream is not the primary; the statement did not run.
    NotPrimary,
    /// Another upstream answers at this address; the statement did not run.
    WrongUpstream,
    /// The upstream has reached its connection limit; the statement did not run.
    ConnectionLimit,
    /// No statement is prepared under this name; the statement did not run.
    NoSuchStatement,
    /// The statement ran and failed.
    Failed,
    /// The statement may have run; no reply arrived in time.
    TimedOut,
    /// The change may have been committed.
    InDoubt,
    /// No route is configured for the database.
    NoDatabase,
    /// The caller's key belongs to no workspace.
    Unauthenticated,
    /// The statement is malformed, or not allowed in the state of the session.
    Malformed,
};

/// @returns the name of a code for logs and metrics
const char* toString(ReplyCode code);

/// @returns whether an upstream that replies with this code has certainly not run the statement
bool provesNotRun(ReplyCode code);

/// The complete reply to one statement.
struct SessionReply {
    RowList rows;
    /// The upstream's proof that it ran the statement; empty when no upstream was involved.
    std::string signature;
    /// ReplyCode::None when the statement succeeded.
    ReplyCode code = ReplyCode::None;
    std::string message;
    TransactionState state = TransactionState::Idle;
    /// The log head of the upstream after the statement.
    std::optional<LogPoint> head;

    /// Keeps the memory of a long reply in the account of the process that received it; null for others.
    std::shared_ptr<const void> receipt = nullptr;

    /// @returns whether the statement succeeded
    bool isSuccess() const { return this->code == ReplyCode::None; }

    /// @returns whether an upstream's reply says how the statement ended: with a signature or with an error
    bool hasResult() const { return !this->signature.empty() || !this->isSuccess(); }
};

} // namespace lentiljunction
