#include "Borrower.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// A lender in the same availability zone responds within a few milliseconds. One that has used up its
    /// processor allowance responds in the next tenth of a second.
    constexpr std::chrono::milliseconds responseTimeout { 100 };
    /// The same when the link must be opened first, which many instances do at once after a restart of the fleet.
    constexpr std::chrono::milliseconds openingTimeout { 300 };
    /// The lender itself ends the wait at the deadline; this much later the borrower does.
    constexpr std::chrono::milliseconds deadlineGrace { 50 };
    constexpr std::chrono::seconds reportLifetime { 2 };
    /// No lender ejects an upstream for longer.
    constexpr std::chrono::seconds longestAvoidance { 4 };

} // namespace

Borrower::Borrower(const Clock& clock, const SessionProtocol& protocol, const InstanceId& self, Transport& transport)
    : clock(clock)
    , protocol(protocol)
    , transport(transport)
    , selector(self)
{
}

std::uint64_t Borrower::borrow(Request request, Grant grant)
{
    Waiting entry;
    entry.request = this->nextNumber++;
    entry.what = std::move(request);
    entry.grant = std::move(grant);
    std::uint64_t number = entry.request;
    this->sendRequest(std::move(entry));
    return this->requests.count(number) > 0 ? number : 0;
}

void Borrower::sendRequest(Waiting entry)
{
    TimePoint now = this->clock.now();
    this->requests.erase(entry.request);
    if (now >= entry.what.deadline)
        return entry.grant(nullptr, Denial::TooLong);
    std::optional<FleetMember> lender = entry.what.workspace.isEmpty() ? this->selector.choose(entry.what.lenders, entry.tried, now) : this->selector.chooseForWorkspace(entry.what.lenders, entry.what.upstream, entry.what.workspace, entry.tried, now);
    if (!lender)
        return entry.grant(nullptr, Denial::Unavailable);
    entry.lender = *lender;
    entry.tried.insert(lender->id);
    entry.sentAt = now;
    entry.hasResponse = false;
    entry.responseDeadline = now + (this->transport.isLinkOpen(lender->id) ? responseTimeout : openingTimeout);

    LendingMessage message;
    message.kind = LendingMessage::Kind::Borrow;
    message.loan = this->nextNumber++;
    message.upstream = entry.what.upstream;
    message.rank = entry.what.rank;
    message.caller = entry.what.caller;
    message.workspace = entry.what.workspace;
    message.acceptsAnyWorkspace = entry.what.acceptsAnyWorkspace;
    message.wait = std::chrono::duration_cast<Duration>(entry.what.deadline - now);
    message.context.preparedNames = entry.what.preparedNames;
    message.mode = entry.what.mode;
    message.mayDecline = entry.what.mayDecline;
    this->requests[entry.request] = message.loan;
    this->waiting.emplace(message.loan, std::move(entry));
    this->transport.sendToLender(*lender, message);
}

void Borrower::cancel(std::uint64_t request)
{
    std::map<std::uint64_t, std::uint64_t>::iterator found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    std::uint64_t number = found->second;
    this->requests.erase(found);
    FleetMember lender = this->waiting.at(number).lender;
    this->waiting.erase(number);
    this->sendSimple(lender, LendingMessage::Kind::Drop, number);
}

void Borrower::sendCommand(const BorrowedConnection& connection, const std::string& encoded, bool isLast)
{
    LendingMessage message;
    message.kind = LendingMessage::Kind::Command;
    message.loan = connection.getLoan();
    message.command = encoded;
    message.isLast = isLast;
    if (isLast) {
        message.context = connection.context;
        message.wasReset = connection.hasBeenReset();
    }
    FleetMember lender = this->loans.at(connection.getLoan()).lender;
    this->transport.sendToLender(lender, message);
}

void Borrower::giveBack(StatementConnection* connection)
{
    std::map<std::uint64_t, Loan>::iterator found = this->findLoan(connection);
    if (found == this->loans.end())
        return;
    const BorrowedConnection& borrowed = *found->second.connection;
    if (borrowed.hasEnded() || !borrowed.hasNoPendingReply())
        return this->discard(connection);
    LendingMessage message;
    message.kind = LendingMessage::Kind::Return;
    message.loan = found->first;
    message.context = borrowed.context;
    message.wasReset = borrowed.hasBeenReset();
    Loan ended = std::move(found->second);
    this->connections.erase(connection);
    this->loans.erase(found);
    this->transport.sendToLender(ended.lender, message);
}

void Borrower::discard(StatementConnection* connection)
{
    std::map<std::uint64_t, Loan>::iterator found = this->findLoan(connection);
    if (found == this->loans.end())
        return;
    std::uint64_t number = found->first;
    Loan ended = std::move(found->second);
    this->connections.erase(connection);
    this->loans.erase(found);
    if (!ended.connection->hasEnded())
        this->sendSimple(ended.lender, LendingMessage::Kind::Drop, number);
}

void Borrower::sendSimple(const FleetMember& lender, LendingMessage::Kind kind, std::uint64_t loan)
{
    LendingMessage message;
    message.kind = kind;
    message.loan = loan;
    this->transport.sendToLender(lender, message);
}

std::map<std::uint64_t, Borrower::Loan>::iterator Borrower::findLoan(const StatementConnection* connection)
{
    std::map<const StatementConnection*, std::uint64_t>::const_iterator number = this->connections.find(connection);
    return number == this->connections.end() ? this->loans.end() : this->loans.find(number->second);
}

void Borrower::onMessage(const InstanceId& lender, const LendingMessage& message)
{
    std::map<std::uint64_t, Waiting>::iterator requested = this->waiting.find(message.loan);
    if (requested != this->waiting.end()) {
        if (requested->second.lender.id != lender)
            return;
        this->onResponse(requested->second);
        if (message.kind == LendingMessage::Kind::Granted)
            return this->onGranted(message.loan, message);
        if (message.kind == LendingMessage::Kind::Denied)
            return this->onDenied(message.loan, message);
        return;
    }
    std::map<std::uint64_t, Loan>::iterator found = this->loans.find(message.loan);
    // The response to a request that was cancelled; the lender has been told.
    if (found == this->loans.end() || found->second.lender.id != lender)
        return;
    if (message.kind == LendingMessage::Kind::Lost)
        return this->onLoanLost(message.loan);
    if (message.kind != LendingMessage::Kind::Reply)
        return;
    std::shared_ptr<BorrowedConnection> connection = found->second.connection;
    connection->onReply(message.reply, message.isLast);
}

void Borrower::onResponse(Waiting& entry)
{
    TimePoint now = this->clock.now();
    if (!std::exchange(entry.hasResponse, true))
        this->selector.onResponse(entry.lender.id, std::chrono::duration_cast<Duration>(now - entry.sentAt), now);
}

void Borrower::onGranted(std::uint64_t number, const LendingMessage& message)
{
    Waiting entry = std::move(this->waiting.at(number));
    this->waiting.erase(number);
    if (!entry.what.acceptsAnyWorkspace && message.workspace != entry.what.workspace) {
        logEvent(events::loanOfOtherWorkspace, "lender=" + entry.lender.id.toString() + " upstream=" + entry.what.upstream.toString());
        this->sendSimple(entry.lender, LendingMessage::Kind::Drop, number);
        return this->sendRequest(std::move(entry));
    }
    this->requests.erase(entry.request);
    this->reports[entry.what.upstream] = { message.latency, message.load, this->clock.now() };
    BorrowedConnection::Channel& channel = *this;
    Loan loan { entry.lender, std::make_shared<BorrowedConnection>(channel, this->protocol, number, entry.what.upstream) };
    loan.connection->context = message.context;
    StatementConnection* connection = loan.connection.get();
    this->connections[connection] = number;
    this->loans.emplace(number, std::move(loan));
    entry.grant(connection, Denial::TooLong);
}

void Borrower::onDenied(std::uint64_t number, const LendingMessage& message)
{
    LendingMessage::Denial denial = message.denial;
    Waiting entry = std::move(this->waiting.at(number));
    this->waiting.erase(number);
    if (denial == LendingMessage::Denial::Unavailable) {
        this->selector.onStopping(entry.lender.id, this->clock.now());
        return this->sendRequest(std::move(entry));
    }
    this->requests.erase(entry.request);
    if (denial == LendingMessage::Denial::Avoided) {
        this->avoidedUntil[entry.what.upstream] = this->clock.now() + std::clamp<Duration>(message.retryAfter, Duration(0), longestAvoidance);
        return entry.grant(nullptr, Denial::Avoided);
    }
    this->expectedWaits[entry.what.upstream] = message.retryAfter;
    entry.grant(nullptr, denial == LendingMessage::Denial::TooLong ? Denial::TooLong : Denial::Unavailable);
}

void Borrower::onLoanLost(std::uint64_t number)
{
    std::shared_ptr<BorrowedConnection> connection = this->loans.at(number).connection;
    connection->onLost();
}

void Borrower::onLinkLost(const InstanceId& lender)
{
    std::vector<std::uint64_t> lost;
    for (const std::pair<const std::uint64_t, Loan>& loan : this->loans) {
        if (loan.second.lender.id == lender)
            lost.push_back(loan.first);
    }
    std::vector<std::uint64_t> unanswered;
    for (const std::pair<const std::uint64_t, Waiting>& entry : this->waiting) {
        if (entry.second.lender.id == lender)
            unanswered.push_back(entry.first);
    }
    this->selector.onSilence(lender, this->clock.now());
    for (std::uint64_t number : lost) {
        if (this->loans.count(number) > 0)
            this->onLoanLost(number);
    }
    for (std::uint64_t number : unanswered) {
        std::map<std::uint64_t, Waiting>::iterator found = this->waiting.find(number);
        if (found == this->waiting.end())
            continue;
        Waiting entry = std::move(found->second);
        this->waiting.erase(found);
        this->sendRequest(std::move(entry));
    }
}

TimePoint Borrower::getDeadline(const Waiting& entry) const
{
    TimePoint end = entry.what.deadline + deadlineGrace;
    return entry.hasResponse ? end : std::min(end, entry.responseDeadline);
}

std::optional<TimePoint> Borrower::getNextDeadline() const
{
    std::optional<TimePoint> next;
    for (const std::pair<const std::uint64_t, Waiting>& entry : this->waiting)
        next = std::min(next.value_or(TimePoint::max()), this->getDeadline(entry.second));
    return next;
}

void Borrower::expire()
{
    TimePoint now = this->clock.now();
    std::vector<std::uint64_t> expired;
    for (const std::pair<const std::uint64_t, Waiting>& entry : this->waiting) {
        if (this->getDeadline(entry.second) <= now)
            expired.push_back(entry.first);
    }
    for (std::uint64_t number : expired) {
        std::map<std::uint64_t, Waiting>::iterator found = this->waiting.find(number);
        if (found == this->waiting.end())
            continue;
        Waiting entry = std::move(found->second);
        this->waiting.erase(found);
        this->sendSimple(entry.lender, LendingMessage::Kind::Drop, number);
        if (!entry.hasResponse) {
            if (!this->selector.isAvoided(entry.lender.id, now))
                logEvent(events::lenderSilent, "lender=" + entry.lender.id.toString() + " upstream=" + entry.what.upstream.toString());
            this->selector.onSilence(entry.lender.id, now);
        }
        this->sendRequest(std::move(entry));
    }
}

Duration Borrower::findExpectedWait(const UpstreamId& upstream) const
{
    std::map<UpstreamId, Duration>::const_iterator found = this->expectedWaits.find(upstream);
    return found == this->expectedWaits.end() ? Duration(0) : found->second;
}

bool Borrower::isAvoided(const UpstreamId& upstream) const
{
    std::map<UpstreamId, TimePoint>::const_iterator found = this->avoidedUntil.find(upstream);
    return found != this->avoidedUntil.end() && this->clock.now() < found->second;
}

std::optional<Borrower::UpstreamReport> Borrower::findReport(const UpstreamId& upstream) const
{
    std::map<UpstreamId, UpstreamReport>::const_iterator found = this->reports.find(upstream);
    if (found == this->reports.end() || this->clock.now() - found->second.reportedAt > reportLifetime)
        return std::nullopt;
    return found->second;
}

} // namespace lentiljunction
