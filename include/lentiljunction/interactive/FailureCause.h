#pragma once

namespace lentiljunction {

/// Why a statement failed or why its result is uncertain.
///
/// @see ReplyCode, which states what the caller can rely on
enum class FailureCause {
    None,
    /// The group has no primary that this instance may use.
    NoPrimary,
    /// No upstream is proved to have data as fresh as the route requires.
    NoFreshData,
    /// The wait in the queue of the upstream would exceed the statement's deadline.
    WaitTooLong,
    /// No connection to the upstream can be opened.
    Unreachable,
    /// The connection was lost before the statement was sent.
    ConnectionLostBeforeSend,
    /// The connection was lost after the statement was sent.
    ConnectionLostAfterSend,
    /// The upstream replied that it did not run the statement.
    RefusedByUpstream,
    /// The upstream ran the statement, but may have been replaced as primary before.
    MayBeReplaced,
    /// No reply arrived before the deadline.
    NoAnswer,
    /// The transaction exceeded its idle limit.
    IdleTooLong,
    /// The statement is not allowed in the state of its session.
    NotAllowed,
    /// No route is configured for the session's database.
    NoRoute,
    /// No workspace holds the caller's key.
    KeyUnknown,
    /// The routing configuration is not confirmed as current, so the caller's key cannot be decided on.
    KeyUnconfirmed,
    /// The workspace is over its limit.
    OverLimit,
    /// No instance that decides on the workspace's limit responded in time.
    LimitUndecided,
    /// The instance has no memory for the statement.
    NoMemory,
};

/// @returns the name of a cause for logs and metrics
const char* toString(FailureCause cause);

/// @returns the cause with a name, FailureCause::None for an unknown name
FailureCause parseFailureCause(const char* name);

/// @returns a description for the caller
const char* describe(FailureCause cause);

/// @returns a hint for operators on where to look next
const char* adviseOperator(FailureCause cause);

} // namespace lentiljunction
