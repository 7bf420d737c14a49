#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/core/Rank.h"
#include "lentiljunction/interactive/SessionContext.h"
#include "lentiljunction/interactive/SessionReply.h"
#include "lentiljunction/workspaces/WorkspaceId.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentiljunction {

/// A message between an instance that borrows a connection and the one that lends it.
///
/// A loan begins with Borrow and ends with Return, Drop, Denied, Lost or the Reply to its last command. Messages of
/// one loan arrive in the order in which they were sent.
struct LendingMessage {
    enum class Kind {
        /// To the lender: requests a connection to `upstream`.
        Borrow,
        /// To the borrower: the request waits for a connection.
        Queued,
        /// To the borrower: a connection is lent, with `context` on it.
        Granted,
        /// To the borrower: no connection is lent, because of `denial`.
        Denied,
        /// To the lender: sends `command` on the connection.
        Command,
        /// To the borrower: the `reply` to the oldest command that was not answered.
        Reply,
        /// To the borrower: the connection was lost; the commands without a reply may have run.
        Lost,
        /// To the lender: the connection has no open transaction and has `context` on it.
        Return,
        /// To the lender: the request is cancelled, or the state of the connection is unknown.
        Drop,
    };

    /// Why no connection is lent.
    enum class Denial {
        /// The wait would exceed, or has exceeded, the deadline.
        TooLong,
        /// The lender cannot reach the upstream.
        Unreachable,
        /// The lender is stopping, or does not know the upstream.
        Unavailable,
        /// The lender avoids the upstream, which failed much of its work.
        Avoided,
    };

    Kind kind = Kind::Drop;
    /// The number of the loan, unique on its link.
    std::uint64_t loan = 0;
    /// For Borrow.
    UpstreamId upstream;
    Rank rank = Rank::Normal;
    CallerId caller;
    /// For Borrow and Granted: the workspace of the connection; empty in a deployment without workspaces. A borrower
    /// does not use a connection of another one, which an instance of an earlier version may grant.
    WorkspaceId workspace;
    /// For Borrow: a connection of any workspace serves the request.
    bool acceptsAnyWorkspace = false;
    /// For Borrow: how long the request may wait for a connection.
    Duration wait { 0 };
    /// For Borrow: whether the statement or its transaction may write.
    AccessMode mode = AccessMode::Write;
    /// For Borrow: whether another upstream can serve the statement.
    bool mayDecline = false;
    /// For Borrow the prepared statements that the session may use, for Granted and Return those on the
    /// connection, with the session values.
    SessionContext::ConnectionContext context;
    /// For Command: the connection is returned after the reply, unless a transaction is open then; `context` and
    /// `wasReset` are set as for Return. For Reply: the lender took the connection back.
    bool isLast = false;
    /// For Return: the connection was reset, so it holds no other context than `context`.
    bool wasReset = false;
    /// For Denied.
    Denial denial = Denial::Unavailable;
    /// For Denied: when the request should be repeated; zero when that is not known.
    Duration retryAfter { 0 };
    /// For Command: encoded for the upstream.
    std::string command;
    /// For Reply.
    SessionReply reply;
    /// For Granted: the lender's estimate of the upstream's latency, and its load in statements per slot.
    Duration latency { 0 };
    double load = 0;
};

/// @returns the message in CBOR
std::string encodeLendingMessage(const LendingMessage& message);

/// @returns the message, or nothing when the bytes are malformed
std::optional<LendingMessage> decodeLendingMessage(const std::string& bytes);

} // namespace lentiljunction
