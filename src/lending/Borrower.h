#pragma once

#include "BorrowedConnection.h"
#include "LenderSelector.h"
#include "LendingMessage.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// Borrows connections to upstreams from other instances.
///
/// A request goes to one lender. When the lender does not respond in time, its link is lost or it has nothing to
/// lend, the request is cancelled there and goes to another lender. A statement is sent only on a granted
/// connection, so a request that moves on has not run anything. A lender that is only slow keeps the connections
/// that it has lent.
///
/// Decides without sockets and timers. Not thread-safe; the traffic thread owns it. Callbacks may run before the
/// call that causes them returns.
///
/// @see Lender
class Borrower : private BorrowedConnection::Channel {
public:
    /// Sends messages to lenders.
    class Transport {
    public:
        virtual ~Transport() = default;
        virtual void sendToLender(const FleetMember& lender, const LendingMessage& message) = 0;

        /// @returns whether messages reach the lender without a link being opened first
        virtual bool isLinkOpen(const InstanceId& lender) const = 0;
    };

    /// Why no connection was granted.
    enum class Denial {
        /// The wait exceeds the deadline.
        TooLong,
        /// The lender cannot reach the upstream, or no lender responds.
        Unavailable,
        /// The lender avoids the upstream, which failed much of its work.
        Avoided,
    };

    /// @param connection the granted connection, or nullptr with a denial
    using Grant = std::function<void(StatementConnection* connection, Denial denial)>;

    /// A request for a connection.
    struct Request {
        std::vector<FleetMember> lenders;
        UpstreamId upstream;
        Rank rank = Rank::Normal;
        CallerId caller;
        TimePoint deadline;
        /// The prepared statements that the session may use.
        std::set<std::string> preparedNames;
        /// The workspace to which the connection must belong; empty in a deployment without workspaces.
        WorkspaceId workspace = WorkspaceId();
        /// A connection of any workspace serves the request.
        bool acceptsAnyWorkspace = false;
        AccessMode mode = AccessMode::Write;
        /// Whether another upstream can serve the statement.
        bool mayDecline = false;
    };

    /// What a lender last reported about an upstream.
    struct UpstreamReport {
        Duration latency { 0 };
        double load = 0;
        TimePoint reportedAt;
    };

    Borrower(const Clock& clock, const SessionProtocol& protocol, const InstanceId& self, Transport& transport);

    /// Requests a connection.
    ///
    /// @returns the number of the request, or zero when the callback was already called
    std::uint64_t borrow(Request request, Grant grant);

    /// Cancels a request; its callback is not called.
    void cancel(std::uint64_t request);

    /// @returns whether this object granted the connection
    bool isBorrowed(const StatementConnection* connection) const { return this->connections.count(connection) > 0; }

    /// Returns a connection without an open transaction to its lender.
    void giveBack(StatementConnection* connection);

    /// Tells the lender to close a connection whose state is unknown.
    void discard(StatementConnection* connection);

    /// Handles a message of a lender.
    void onMessage(const InstanceId& lender, const LendingMessage& message);

    /// Fails all loans of a lender whose link was lost.
    void onLinkLost(const InstanceId& lender);

    /// Handles requests that got no response in time.
    void expire();

    /// @returns when expire() must be called next, or nothing
    std::optional<TimePoint> getNextDeadline() const;

    /// @returns what a lender reported about an upstream, or nothing when the report is old
    std::optional<UpstreamReport> findReport(const UpstreamId& upstream) const;

    /// @returns when a request for an upstream should be repeated, as the lender that refused the last one expects;
    ///     zero when that is not known
    Duration findExpectedWait(const UpstreamId& upstream) const;

    /// @returns whether a lender reported that it avoids the upstream now
    bool isAvoided(const UpstreamId& upstream) const;

    /// @returns the number of borrowed connections
    std::size_t countConnections() const { return this->connections.size(); }

private:
    /// A request that waits for a connection.
    struct Waiting {
        std::uint64_t request = 0;
        Request what;
        Grant grant;
        FleetMember lender;
        std::set<InstanceId> tried;
        TimePoint sentAt;
        bool hasResponse = false;
        /// When the lender counts as silent.
        TimePoint responseDeadline;
    };

    struct Loan {
        FleetMember lender;
        std::shared_ptr<BorrowedConnection> connection;
    };

    void sendCommand(const BorrowedConnection& connection, const std::string& encoded, bool isLast) override;
    void sendRequest(Waiting waiting);
    void onResponse(Waiting& waiting);
    void onGranted(std::uint64_t number, const LendingMessage& message);
    void onDenied(std::uint64_t number, const LendingMessage& message);
    void onLoanLost(std::uint64_t number);
    TimePoint getDeadline(const Waiting& waiting) const;
    void sendSimple(const FleetMember& lender, LendingMessage::Kind kind, std::uint64_t loan);
    std::map<std::uint64_t, Loan>::iterator findLoan(const StatementConnection* connection);

    const Clock& clock;
    const SessionProtocol& protocol;
    Transport& transport;
    LenderSelector selector;
    /// By the number of the loan, which changes when a request moves to another lender.
    std::map<std::uint64_t, Waiting> waiting;
    /// The number of the current loan of each waiting request.
    std::map<std::uint64_t, std::uint64_t> requests;
    std::map<std::uint64_t, Loan> loans;
    std::map<const StatementConnection*, std::uint64_t> connections;
    std::map<UpstreamId, UpstreamReport> reports;
    std::map<UpstreamId, Duration> expectedWaits;
    /// Until when the lender avoids an upstream.
    std::map<UpstreamId, TimePoint> avoidedUntil;
    std::uint64_t nextNumber = 1;
};

} // namespace lentiljunction
