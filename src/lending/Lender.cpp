#include "Lender.h"

#include "../traffic/UpstreamHealth.h"
#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <vector>

namespace lentiljunction {

namespace {

    /// A request may not wait for longer, whatever the borrower asks for.
    constexpr std::chrono::seconds longestWait { 10 };
    /// A borrower sends its first command within a few milliseconds.
    constexpr std::chrono::milliseconds idleTimeout { 300 };
    /// A borrower waits for at least 200 ms for the answer to a read before it uses another upstream.
    constexpr std::chrono::milliseconds noAnswerTimeout { 150 };

} // namespace

Lender::Lender(const Clock& clock, Transport& transport, SourceFinder& sources)
    : clock(clock)
    , transport(transport)
    , sources(sources)
{
}

void Lender::onMessage(LinkId link, const LendingMessage& message)
{
    LoanId id { link, message.loan };
    switch (message.kind) {
    case LendingMessage::Kind::Borrow:
        return this->onBorrow(id, message);
    case LendingMessage::Kind::Command:
        return this->onCommand(id, message);
    case LendingMessage::Kind::Return:
        return this->onReturn(id, message);
    case LendingMessage::Kind::Drop:
        return this->end(id);
    default:
        logEvent(events::peerMessageInvalid, "reason=\"a lender's message was sent to a lender\"");
    }
}

void Lender::onBorrow(const LoanId& id, const LendingMessage& message)
{
    if (this->loans.count(id) > 0)
        return logEvent(events::peerMessageInvalid, "reason=\"the number of the loan is in use\"");
    std::shared_ptr<ConnectionSource> source = this->isStopping ? nullptr : this->sources.findOwnSource(message.upstream);
    if (source == nullptr)
        return this->deny(id, LendingMessage::Denial::Unavailable);
    if (message.mayDecline && this->sources.getAvoidedFor(message.upstream) > Duration(0))
        return this->deny(id, LendingMessage::Denial::Avoided, this->sources.getAvoidedFor(message.upstream));
    if (!message.acceptsAnyWorkspace)
        this->sources.onLentStarted(message.upstream);

    Loan loan;
    loan.source = source;
    loan.rank = message.rank;
    loan.workspace = message.workspace;
    loan.mode = message.mode;
    loan.takesSlot = !message.acceptsAnyWorkspace;
    loan.wantedNames = message.context.preparedNames;
    this->loans.emplace(id, std::move(loan));
    Duration wait = std::clamp<Duration>(message.wait, Duration(0), longestWait);
    ConnectionSource::Request request { message.rank, message.caller, this->clock.now() + wait, nullptr, message.workspace, message.acceptsAnyWorkspace };
    request.mode = message.mode;
    ConnectionSource::Ticket ticket = source->acquire(request, [this, id, source](StatementConnection* connection, ConnectionSource::Denial denial) {
        this->onConnection(id, source, connection, denial);
    });
    if (ticket == 0)
        return;
    this->loans.at(id).ticket = ticket;
    LendingMessage queued;
    queued.kind = LendingMessage::Kind::Queued;
    queued.loan = id.second;
    this->transport.sendToBorrower(id.first, queued);
}

void Lender::onConnection(const LoanId& id, const std::shared_ptr<ConnectionSource>& source, StatementConnection* connection, ConnectionSource::Denial denial)
{
    if (connection == nullptr) {
        Rank rank = this->loans.at(id).rank;
        this->loans.erase(id);
        bool isTooLong = denial == ConnectionSource::Denial::TooLong;
        return this->deny(id, isTooLong ? LendingMessage::Denial::TooLong : LendingMessage::Denial::Unreachable, isTooLong ? source->getExpectedWait(rank) : Duration(0));
    }
    Loan& loan = this->loans.at(id);
    loan.ticket = 0;
    loan.connection = connection;
    loan.isActive = true;
    loan.usedAt = this->clock.now();
    this->resetIfCrowded(id, *connection);
    if (this->loans.count(id) == 0)
        return;
    LendingMessage granted;
    granted.kind = LendingMessage::Kind::Granted;
    granted.loan = id.second;
    granted.context.values = connection->context.values;
    for (const std::string& name : loan.wantedNames) {
        if (connection->context.preparedNames.count(name) > 0)
            granted.context.preparedNames.insert(name);
    }
    granted.workspace = loan.workspace;
    granted.latency = source->getLatency();
    granted.load = source->getLoad();
    this->transport.sendToBorrower(id.first, granted);
}

void Lender::resetIfCrowded(const LoanId& id, StatementConnection& connection)
{
    // The borrower does not learn the names that it does not need, so it cannot tell.
    if (connection.context.preparedNames.size() <= SessionContext::maximumPreparedNames)
        return;
    connection.context = SessionContext::ConnectionContext();
    connection.send(UpstreamCommand(), [this, id](const std::optional<SessionReply>& reply) {
        if (!reply)
            this->onReply(id, std::nullopt);
    });
}

void Lender::onCommand(const LoanId& id, const LendingMessage& message)
{
    std::map<LoanId, Loan>::iterator found = this->loans.find(id);
    // The connection may have been lost, of which the borrower has been told.
    if (found == this->loans.end() || found->second.connection == nullptr)
        return;
    Loan& loan = found->second;
    if (!loan.isActive)
        loan.source->activate(loan.connection);
    loan.isActive = true;
    loan.usedAt = this->clock.now();
    if (loan.numPending++ == 0)
        loan.pendingSince = loan.usedAt;
    if (message.isLast)
        loan.last = message;
    loan.connection->sendEncoded(message.command, [this, id](std::optional<SessionReply> reply) { this->onReply(id, std::move(reply)); });
}

void Lender::onReply(const LoanId& id, std::optional<SessionReply> reply)
{
    std::map<LoanId, Loan>::iterator found = this->loans.find(id);
    if (found == this->loans.end())
        return;
    this->recordReply(found->second, reply);
    if (!reply) {
        // The lost connection is one result, not also an unanswered command.
        found->second.numPending = 0;
        this->end(id);
        LendingMessage lost;
        lost.kind = LendingMessage::Kind::Lost;
        lost.loan = id.second;
        return this->transport.sendToBorrower(id.first, lost);
    }
    Loan& loan = found->second;
    loan.numPending--;
    loan.state = reply->state;
    loan.usedAt = this->clock.now();
    loan.pendingSince = loan.usedAt;
    LendingMessage message;
    message.kind = LendingMessage::Kind::Reply;
    message.loan = id.second;
    message.reply = std::move(*reply);
    message.isLast = loan.last && loan.numPending == 0 && loan.state == TransactionState::Idle;
    this->transport.sendToBorrower(id.first, message);
    if (message.reply.code == ReplyCode::Busy)
        loan.source->onRefused(loan.connection);
    if (message.isLast) {
        LendingMessage last = *loan.last;
        return this->takeBack(id, last);
    }
    if (loan.numPending > 0)
        return;
    loan.isActive = false;
    loan.source->deactivate(loan.connection);
}

void Lender::onReturn(const LoanId& id, const LendingMessage& message)
{
    std::map<LoanId, Loan>::iterator found = this->loans.find(id);
    if (found == this->loans.end() || found->second.connection == nullptr)
        return this->end(id);
    bool isClean = found->second.numPending == 0 && found->second.state == TransactionState::Idle;
    if (!isClean)
        return this->end(id);
    this->takeBack(id, message);
}

void Lender::takeBack(const LoanId& id, const LendingMessage& message)
{
    Loan loan = this->loans.at(id);
    this->loans.erase(id);
    SessionContext::ConnectionContext& context = loan.connection->context;
    context.values = message.context.values;
    if (message.wasReset)
        context.preparedNames.clear();
    context.preparedNames.insert(message.context.preparedNames.begin(), message.context.preparedNames.end());
    loan.source->release(loan.connection);
}

void Lender::end(const LoanId& id)
{
    std::map<LoanId, Loan>::iterator found = this->loans.find(id);
    if (found == this->loans.end())
        return;
    Loan loan = found->second;
    UpstreamId upstream = loan.source->getUpstream().id;
    this->loans.erase(found);
    if (loan.ticket != 0)
        loan.source->cancelAcquire(loan.ticket);
    if (loan.connection != nullptr)
        loan.source->discard(loan.connection);
    // A borrower that drops a connection soon after its command has lost its caller.
    if (loan.numPending > 0 && this->clock.now() - loan.pendingSince >= noAnswerTimeout)
        this->sources.onLentResult({ upstream, UpstreamResult::NoAnswer, loan.pendingSince });
}

void Lender::recordReply(const Loan& loan, const std::optional<SessionReply>& reply)
{
    UpstreamId upstream = loan.source->getUpstream().id;
    std::optional<UpstreamResult> result = reply ? classifyReply(reply->code, loan.mode) : UpstreamResult::Reset;
    // The commands that prepare a connection take no slot, so their success shows little.
    bool isPreparation = result == UpstreamResult::Success && (!loan.takesSlot || !loan.last || loan.numPending > 1);
    if (result && !isPreparation)
        this->sources.onLentResult({ upstream, *result, loan.pendingSince });
}

void Lender::deny(const LoanId& id, LendingMessage::Denial denial, Duration retryAfter)
{
    LendingMessage denied;
    denied.kind = LendingMessage::Kind::Denied;
    denied.loan = id.second;
    denied.denial = denial;
    denied.retryAfter = retryAfter;
    this->transport.sendToBorrower(id.first, denied);
}

void Lender::onLinkLost(LinkId link)
{
    std::vector<LoanId> lost;
    for (const std::pair<const LoanId, Loan>& loan : this->loans) {
        if (loan.first.first == link)
            lost.push_back(loan.first);
    }
    for (const LoanId& id : lost)
        this->end(id);
}

void Lender::stop()
{
    this->isStopping = true;
    std::vector<LoanId> waiting;
    for (const std::pair<const LoanId, Loan>& loan : this->loans) {
        if (loan.second.connection == nullptr)
            waiting.push_back(loan.first);
    }
    for (const LoanId& id : waiting) {
        this->end(id);
        this->deny(id, LendingMessage::Denial::Unavailable);
    }
}

void Lender::checkIdle()
{
    TimePoint now = this->clock.now();
    std::vector<LoanId> idle;
    for (const std::pair<const LoanId, Loan>& loan : this->loans) {
        bool isUnused = loan.second.isActive && loan.second.numPending == 0 && now - loan.second.usedAt > idleTimeout;
        if (isUnused)
            idle.push_back(loan.first);
    }
    for (const LoanId& id : idle) {
        std::map<LoanId, Loan>::iterator found = this->loans.find(id);
        if (found == this->loans.end())
            continue;
        found->second.isActive = false;
        found->second.source->deactivate(found->second.connection);
    }
}

std::size_t Lender::countLent() const
{
    return static_cast<std::size_t>(std::count_if(this->loans.begin(), this->loans.end(), [](const std::pair<const LoanId, Loan>& loan) { return loan.second.connection != nullptr; }));
}

} // namespace lentiljunction
