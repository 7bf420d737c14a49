#pragma once

#include "../traffic/ConnectionSource.h"
#include "Borrower.h"

#include <map>
#include <memory>
#include <vector>

namespace lentiljunction {

/// Connections to an upstream that accepts too few for every instance: borrowed ones, and the instance's own
/// where no lender has one.
///
/// @see LendingPlan
class BorrowingSource : public ConnectionSource, public std::enable_shared_from_this<BorrowingSource> {
public:
    /// @param borrower must outlive this object
    /// @param own this instance's own connections to the upstream
    BorrowingSource(Borrower& borrower, std::shared_ptr<ConnectionSource> own);

    /// Sets the instances that lend connections to the upstream.
    void setLenders(std::vector<FleetMember> newer) { this->lenders = std::move(newer); }

    Ticket acquire(const Request& request, Grant grant) override;
    void cancelAcquire(Ticket ticket) override;
    void release(StatementConnection* connection) override;
    void discard(StatementConnection* connection) override;
    void onRefused(StatementConnection* connection) override;
    void activate(StatementConnection* connection) override;
    void deactivate(StatementConnection* connection) override;
    void probeIfDue() override { this->own->probeIfDue(); }

    /// @returns whether neither a lender nor this instance could reach the upstream
    bool isUnreachable() const override { return this->own->isUnreachable() && this->isBorrowingDenied; }
    bool isOwn(const StatementConnection* connection) const override { return !this->borrower.isBorrowed(connection); }
    bool isAvoidedByLender() const override { return this->borrower.isAvoided(this->getUpstream().id); }
    bool hasIdle() const override { return !this->lenders.empty() || this->own->hasIdle(); }
    Duration getLatency() const override;
    double getLoad() const override;
    Duration getExpectedWait(Rank rank) const override;
    const UpstreamEntry& getUpstream() const override { return this->own->getUpstream(); }

private:
    /// A request that was not granted or denied yet, at a lender or at this instance's own connections.
    struct Pending {
        Request request;
        Grant grant;
        std::uint64_t borrowing = 0;
        Ticket ownTicket = 0;
    };

    void onBorrowed(Ticket ticket, StatementConnection* connection, Borrower::Denial denial);
    void acquireOwn(Ticket ticket);
    void finish(Ticket ticket, StatementConnection* connection, Denial denial);

    Borrower& borrower;
    std::shared_ptr<ConnectionSource> own;
    std::vector<FleetMember> lenders;
    std::map<Ticket, Pending> pending;
    Ticket nextTicket = 1;
    /// The lenders could not lend a connection when last asked, or were not asked yet.
    bool isBorrowingDenied = true;
};

} // namespace lentiljunction
