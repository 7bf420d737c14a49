#pragma once

namespace lentiljunction {

/// Why a statement could not be served, or why its answer is not certain.
///
/// @see ReplyCode, which is what the caller is promised
enum class FailureCause {
    None,
    /// The group has no primary that this instance may use now.
    NoPrimary,
    /// No upstream is proved to hold data as fresh as the route asks for.
    NoFreshData,
    /// The queue in front of the upstream is longer than the statement's time.
    WaitTooLong,
    /// No connection to the upstream can be opened.
    Unreachable,
    /// The connection broke while nothing of the statement was sent.
    BrokeBefore,
    /// The connection broke after the statement was sent.
    BrokeAfter,
    /// The upstream did not run it, and said so.
    UpstreamAnswered,
    /// The upstream ran it, but may no longer have been the primary.
    MayBeReplaced,
    /// The statement's time passed without an answer.
    NoAnswer,
    /// The transaction rested for longer than transactions may.
    IdleTooLong,
    /// The statement is not allowed in the state of its session.
    NotAllowed,
    /// No route leads to the session's database.
    NoRoute,
};

/// @returns the name of a trouble for logs and metrics
const char* toString(FailureCause cause);

/// @returns the trouble of a name, FailureCause::None for an unknown name
FailureCause parseFailureCause(const char* name);

/// @returns one sentence for the caller
const char* describe(FailureCause cause);

/// @returns what an operator looks at next
const char* adviseOperator(FailureCause cause);

} // namespace lentiljunction
