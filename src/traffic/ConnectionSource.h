#pragma once

#include "StatementConnection.h"
#include "lentiljunction/admission/RankQueue.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/core/Rank.h"
#include "lentiljunction/routes/UpstreamEntry.h"
#include "lentiljunction/workspaces/WorkspaceId.h"

#include <functional>
#include <optional>

namespace lentiljunction {

/// Where statements get their connections to one upstream.
///
/// A connection belongs to one session from its grant until its release. It is `active` while a
/// statement runs on it. Between the statements of a transaction it is held but not active, so that it
/// does not count against the concurrency of the upstream.
///
/// Not thread-safe; the traffic thread owns it. Callbacks may run before the call that causes them returns.
///
/// @see UpstreamPool, BorrowingSource
class ConnectionSource {
public:
    using Ticket = RankQueue::Ticket;

    /// Why no connection was granted.
    enum class Denial {
        /// The wait would exceed, or has exceeded, the deadline.
        TooLong,
        /// The upstream cannot be reached.
        Unreachable,
        /// The lender avoids the upstream, which failed much of its work, and the request may be declined.
        Avoided,
    };

    /// @param connection the granted connection, or nullptr with a denial
    using Grant = std::function<void(StatementConnection* connection, Denial denial)>;

    /// What a statement needs of a connection.
    struct Request {
        Rank rank = Rank::Normal;
        CallerId caller;
        TimePoint deadline;
        /// The context of the session, or nullptr for a command of the proxy itself. Used only during acquire().
        const SessionContext* context = nullptr;
        /// The workspace for which the statement runs; empty in a deployment without workspaces.
        WorkspaceId workspace = WorkspaceId();
        /// The request is for a command of the proxy that runs no statement, so a connection of any workspace serves it.
        bool acceptsAnyWorkspace = false;
        /// Whether the statement, or its transaction, may write.
        AccessMode mode = AccessMode::Write;
        /// Whether another upstream can serve the statement, so that an ejected one may decline it.
        bool mayDecline = false;
    };

    /// What is expected of a request.
    struct Forecast {
        /// Set when the request would be denied at once.
        std::optional<Denial> denial;
        /// The expected wait for a connection.
        Duration wait { 0 };
    };

    virtual ~ConnectionSource() = default;

    /// Requests a connection.
    ///
    /// @returns the ticket of the request, or zero when the callback was already called
    virtual Ticket acquire(const Request& request, Grant grant) = 0;

    /// Cancels a request for a connection; its callback is not called.
    virtual void cancelAcquire(Ticket ticket) = 0;

    /// Returns a connection without an open transaction.
    virtual void release(StatementConnection* connection) = 0;

    /// Closes a connection whose state is unknown.
    virtual void discard(StatementConnection* connection) = 0;

    /// Reports that the upstream refused a statement on a connection because it was busy.
    virtual void onRefused(StatementConnection* connection) = 0;

    /// @returns whether the connection is this instance's own and not borrowed
    virtual bool isOwn(const StatementConnection*) const { return true; }

    /// @returns whether the lender of the connections reported that it avoids the upstream
    virtual bool isAvoidedByLender() const { return false; }

    /// Counts a held connection as active, because a statement is sent on it.
    virtual void activate(StatementConnection* connection) = 0;

    /// Counts a held connection as inactive: its statement was answered and the transaction continues.
    virtual void deactivate(StatementConnection* connection) = 0;

    /// Tries to reach an unreachable upstream again when its backoff is over.
    virtual void probeIfDue() = 0;

    /// @returns whether the upstream could not be reached when it was last tried
    virtual bool isUnreachable() const = 0;

    /// @returns whether a connection is expected to be available without opening one
    virtual bool hasIdle() const = 0;

    /// @returns the expected time from a grant to the end of the statement
    virtual Duration getLatency() const = 0;

    /// @returns running and queued statements per slot of the upstream
    virtual double getLoad() const = 0;

    /// Predicts what acquire() would do, without a request.
    ///
    /// @returns nothing when another instance decides
    virtual std::optional<Forecast> forecast(const Request&) const { return std::nullopt; }

    /// @returns how long a request that is refused now should wait before it is repeated; zero when that is not known
    virtual Duration getExpectedWait(Rank) const { return Duration(0); }

    virtual const UpstreamEntry& getUpstream() const = 0;
};

} // namespace lentiljunction
