#pragma once

#include "../traffic/ConnectionSource.h"
#include "LendingMessage.h"
#include "lentiljunction/upstreamhealth/OutlierDetector.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace lentiljunction {

/// Lends the connections of this instance to other instances.
///
/// A lent connection belongs to its borrower until the borrower returns it. When the borrower or the link to it
/// is lost, the connection is closed, which rolls back an open transaction.
///
/// Decides without sockets and timers. Not thread-safe; the traffic thread owns it.
///
/// @see Borrower
class Lender {
public:
    /// Identifies the link to a borrower.
    using LinkId = std::uint64_t;

    /// Sends messages to borrowers.
    class Transport {
    public:
        virtual ~Transport() = default;
        virtual void sendToBorrower(LinkId link, const LendingMessage& message) = 0;
    };

    /// Finds the connections of this instance.
    class SourceFinder {
    public:
        virtual ~SourceFinder() = default;

        /// @returns this instance's own connections to an upstream, or nullptr when the upstream is unknown
        virtual std::shared_ptr<ConnectionSource> findOwnSource(const UpstreamId& upstream) = 0;

        /// Records the result of a statement on a lent connection.
        virtual void onLentResult(const OutlierDetector::Sample&) { }

        /// Records that a connection is lent for a statement.
        virtual void onLentStarted(const UpstreamId&) { }

        /// @returns for how long statements that another upstream can serve should avoid this one
        virtual Duration getAvoidedFor(const UpstreamId&) const { return Duration(0); }
    };

    Lender(const Clock& clock, Transport& transport, SourceFinder& sources);

    /// Handles a message of a borrower.
    void onMessage(LinkId link, const LendingMessage& message);

    /// Ends all loans of a borrower whose link was lost.
    void onLinkLost(LinkId link);

    /// Lends nothing more; connections that are lent stay until they are returned.
    void stop();

    /// Counts connections as inactive that are lent and were not used for a while.
    void checkIdle();

    /// @returns the number of lent connections
    std::size_t countLent() const;

private:
    using LoanId = std::pair<LinkId, std::uint64_t>;

    struct Loan {
        std::shared_ptr<ConnectionSource> source;
        /// Not zero while the request waits for a connection.
        ConnectionSource::Ticket ticket = 0;
        StatementConnection* connection = nullptr;
        Rank rank = Rank::Normal;
        WorkspaceId workspace;
        /// The prepared statements that the borrower may use.
        std::set<std::string> wantedNames;
        std::size_t numPending = 0;
        bool isActive = false;
        TransactionState state = TransactionState::Idle;
        /// The last command, with the context that it leaves on the connection.
        std::optional<LendingMessage> last;
        TimePoint usedAt;
        AccessMode mode = AccessMode::Write;
        bool takesSlot = true;
        /// When the oldest command without a reply was sent.
        TimePoint pendingSince;
    };

    void onBorrow(const LoanId& id, const LendingMessage& message);
    void onConnection(const LoanId& id, const std::shared_ptr<ConnectionSource>& source, StatementConnection* connection, ConnectionSource::Denial denial);
    void onCommand(const LoanId& id, const LendingMessage& message);
    void takeBack(const LoanId& id, const LendingMessage& message);
    void onReply(const LoanId& id, std::optional<SessionReply> reply);
    void onReturn(const LoanId& id, const LendingMessage& message);
    void resetIfCrowded(const LoanId& id, StatementConnection& connection);
    void end(const LoanId& id);
    void recordReply(const Loan& loan, const std::optional<SessionReply>& reply);
    void deny(const LoanId& id, LendingMessage::Denial denial, Duration retryAfter = Duration(0));

    const Clock& clock;
    Transport& transport;
    SourceFinder& sources;
    std::map<LoanId, Loan> loans;
    bool isStopping = false;
};

} // namespace lentiljunction
