#include "BorrowingSource.h"

#include <utility>

namespace lentiljunction {

BorrowingSource::BorrowingSource(Borrower& borrower, std::shared_ptr<ConnectionSource> own)
    : borrower(borrower)
    , own(std::move(own))
{
}

ConnectionSource::Ticket BorrowingSource::acquire(const Request& request, Grant grant)
{
    Ticket ticket = this->nextTicket++;
    Pending entry { request, std::move(grant), 0, 0 };
    // The session may end while the request waits.
    entry.request.context = nullptr;
    this->pending.emplace(ticket, std::move(entry));
    Borrower::Request wanted { this->lenders, this->getUpstream().id, request.rank, request.caller, request.deadline, {}, request.workspace, request.acceptsAnyWorkspace, request.mode, request.mayDecline };
    if (request.context != nullptr)
        wanted.preparedNames = request.context->listSharedNames();
    std::uint64_t borrowing = this->borrower.borrow(std::move(wanted), [self = this->shared_from_this(), ticket](StatementConnection* connection, Borrower::Denial denial) {
        self->onBorrowed(ticket, connection, denial);
    });
    std::map<Ticket, Pending>::iterator found = this->pending.find(ticket);
    if (found == this->pending.end())
        return 0;
    if (borrowing != 0)
        found->second.borrowing = borrowing;
    return ticket;
}

void BorrowingSource::onBorrowed(Ticket ticket, StatementConnection* connection, Borrower::Denial denial)
{
    this->isBorrowingDenied = connection == nullptr && denial == Borrower::Denial::Unavailable;
    if (this->isBorrowingDenied)
        return this->acquireOwn(ticket);
    this->finish(ticket, connection, denial == Borrower::Denial::Avoided ? Denial::Avoided : Denial::TooLong);
}

void BorrowingSource::acquireOwn(Ticket ticket)
{
    Pending& entry = this->pending.at(ticket);
    entry.borrowing = 0;
    Request request = entry.request;
    Ticket ownTicket = this->own->acquire(request, [self = this->shared_from_this(), ticket](StatementConnection* connection, Denial denial) {
        self->finish(ticket, connection, denial);
    });
    std::map<Ticket, Pending>::iterator found = this->pending.find(ticket);
    if (found != this->pending.end())
        found->second.ownTicket = ownTicket;
}

void BorrowingSource::finish(Ticket ticket, StatementConnection* connection, Denial denial)
{
    std::map<Ticket, Pending>::iterator found = this->pending.find(ticket);
    Grant grant = std::move(found->second.grant);
    this->pending.erase(found);
    grant(connection, denial);
}

void BorrowingSource::cancelAcquire(Ticket ticket)
{
    std::map<Ticket, Pending>::iterator found = this->pending.find(ticket);
    if (found == this->pending.end())
        return;
    Pending entry = std::move(found->second);
    this->pending.erase(found);
    if (entry.borrowing != 0)
        this->borrower.cancel(entry.borrowing);
    if (entry.ownTicket != 0)
        this->own->cancelAcquire(entry.ownTicket);
}

void BorrowingSource::release(StatementConnection* connection)
{
    if (this->borrower.isBorrowed(connection))
        this->borrower.giveBack(connection);
    else
        this->own->release(connection);
}

void BorrowingSource::discard(StatementConnection* connection)
{
    if (this->borrower.isBorrowed(connection))
        this->borrower.discard(connection);
    else
        this->own->discard(connection);
}

void BorrowingSource::onRefused(StatementConnection* connection)
{
    // The lender sees the replies on its connections itself.
    if (!this->borrower.isBorrowed(connection))
        this->own->onRefused(connection);
}

void BorrowingSource::activate(StatementConnection* connection)
{
    if (!this->borrower.isBorrowed(connection))
        this->own->activate(connection);
}

void BorrowingSource::deactivate(StatementConnection* connection)
{
    if (!this->borrower.isBorrowed(connection))
        this->own->deactivate(connection);
}

Duration BorrowingSource::getLatency() const
{
    std::optional<Borrower::UpstreamReport> report = this->borrower.findReport(this->getUpstream().id);
    return report ? report->latency : this->own->getLatency();
}

Duration BorrowingSource::getExpectedWait(Rank rank) const
{
    return this->isBorrowingDenied ? this->own->getExpectedWait(rank) : this->borrower.findExpectedWait(this->getUpstream().id);
}

double BorrowingSource::getLoad() const
{
    std::optional<Borrower::UpstreamReport> report = this->borrower.findReport(this->getUpstream().id);
    return report ? report->load : this->own->getLoad();
}

} // namespace lentiljunction
