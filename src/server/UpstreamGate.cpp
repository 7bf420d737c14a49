#include "UpstreamGate.h"

#include "TransactionPlans.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// A first attempt without a response is abandoned after this, or the factor times the mean duration if longer.
    constexpr Duration minimumSilenceTimeout = std::chrono::milliseconds(250);
    constexpr int silenceTimeoutFactor = 10;
    constexpr Duration initialStatementDuration = std::chrono::milliseconds(2);
    constexpr int meanWindow = 8;
    constexpr Duration gateSpareLifetime = std::chrono::seconds(30);
    constexpr Duration candidateSpareLifetime = std::chrono::seconds(3);
    /// Keys are deleted this long after they expired, because the clocks of instances differ.
    constexpr std::chrono::seconds pruneMargin = std::chrono::hours(1);

    Duration updateMean(Duration mean, Duration sample)
    {
        return (mean * (meanWindow - 1) + sample) / meanWindow;
    }

} // namespace

UpstreamGate::UpstreamGate(Dependencies dependencies, const Bundle& bundle, const DatabaseConfig& database, const UpstreamConfig& upstream, GroupState& group)
    : dependencies(std::move(dependencies))
    , database(database)
    , upstream(upstream)
    , profile(bundle.getProfile(database))
    , transactionIdleTimeout(bundle.limits.transactionIdleTimeout)
    , group(group)
    , queue(bundle.ranks)
    , limit(this->profile.slots)
    , connections({ this->dependencies.loop, this->dependencies.clock, this->dependencies.metrics, this->dependencies.connector }, upstream, this->profile, [this] { this->dispatch(); })
    , transactions(this->dependencies.self.toString() + "~" + upstream.id.toString())
    , meanStatementDuration(initialStatementDuration)
{
}

void UpstreamGate::setBundle(const Bundle& bundle, const DatabaseConfig& newDatabase)
{
    this->database = newDatabase;
    this->profile = bundle.getProfile(newDatabase);
    this->transactionIdleTimeout = bundle.limits.transactionIdleTimeout;
    this->queue.setRanks(bundle.ranks);
}

void UpstreamGate::execute(HopRequest hop, ResponseHandler handler)
{
    std::shared_ptr<PendingRequest> pending = std::make_shared<PendingRequest>();
    pending->arrivedAt = this->dependencies.clock.now();
    pending->deadline = pending->arrivedAt + hop.remaining;
    pending->hop = std::move(hop);
    pending->handler = std::move(handler);

    std::optional<Outcome> refusal = this->checkBeforeQueue(*pending);
    if (refusal) {
        this->finish(pending, std::move(*refusal), false, std::nullopt);
        return;
    }
    if (this->waitForReplica(pending))
        return;
    this->enqueue(pending);
    this->dispatch();
}

void UpstreamGate::setGateRole(GateRole gateRole)
{
    switch (gateRole) {
    case GateRole::Gate:
        this->connections.setRetention(this->profile.warmConnections, gateSpareLifetime);
        break;
    case GateRole::Candidate:
        this->connections.setRetention(0, candidateSpareLifetime);
        break;
    case GateRole::Former:
        this->connections.setRetention(0, Duration(0));
        break;
    }
}

void UpstreamGate::onGroupChanged()
{
    const UpstreamStatus* status = this->group.findStatus(this->upstream.id);
    if (status == nullptr)
        return;

    TimePoint now = this->dependencies.clock.now();
    std::vector<WaitingRead> waiting = std::exchange(this->waitingReads, {});
    for (const WaitingRead& read : waiting) {
        Duration waited = std::chrono::duration_cast<Duration>(now - read.pending->arrivedAt);
        bool isBehind = status->getCoverage(read.point) == Coverage::Behind;
        if (!isBehind) {
            this->catchUp.onCaughtUp(waited);
            this->enqueue(read.pending);
        } else if (now < read.giveUpAt) {
            this->waitingReads.push_back(read);
        } else {
            this->catchUp.onCatchUpTimeout(waited);
            this->finish(read.pending, Outcome::notRun(NotRunReason::ReplicaBehind, "the replica did not catch up in time"), false, std::nullopt);
        }
    }
    this->dispatch();
}

void UpstreamGate::onTick()
{
    this->onGroupChanged();
    for (const RankQueue::Request& expired : this->queue.takeExpired(this->dependencies.clock.now())) {
        std::shared_ptr<PendingRequest> pending = this->queued[expired.ticket];
        this->queued.erase(expired.ticket);
        this->finish(pending, Outcome::notRun(NotRunReason::DeadlinePassed, "the deadline passed while the request was queued"), false, std::nullopt);
    }
    this->expireTransactions();
    this->pruneKeys();
    this->connections.probeIdle();
    this->dispatch();
}

bool UpstreamGate::isIdle() const
{
    return this->queue.isEmpty() && this->numRunning == 0 && this->transactions.isEmpty() && this->waitingReads.empty() && this->retries.empty();
}

std::optional<Outcome> UpstreamGate::checkBeforeQueue(const PendingRequest& pending)
{
    const Request& request = pending.hop.request;
    bool isOpenTransaction = request.action != TransactionAction::None && request.action != TransactionAction::Begin;
    if (isOpenTransaction)
        return this->transactions.claim(request.transaction);

    if (this->isLeaving)
        return Outcome::notRun(NotRunReason::UpstreamLeaving, "the upstream is leaving and takes no new requests");
    if (request.isRead())
        return std::nullopt;

    std::optional<PrimaryHint> primary = this->group.getPrimary();
    if (primary && primary->upstream != this->upstream.id)
        return Outcome::notRun(NotRunReason::NotPrimary, "another upstream is the primary");
    if (!this->group.isPrimaryReachable())
        return Outcome::notRun(NotRunReason::NoPrimary, "the primary does not answer probes; it may be replaced", std::chrono::milliseconds(200));
    return std::nullopt;
}

bool UpstreamGate::waitForReplica(const std::shared_ptr<PendingRequest>& pending)
{
    const Request& request = pending->hop.request;
    std::optional<LogPoint> point = request.session.find(request.database);
    const UpstreamStatus* status = this->group.findStatus(this->upstream.id);
    bool isBehind = request.isRead() && point && status != nullptr && status->getCoverage(*point) == Coverage::Behind;
    if (!isBehind)
        return false;

    if (!this->catchUp.isWaitWorthwhile(pending->hop.alternativeCost)) {
        this->catchUp.onWaitSkipped();
        this->finish(pending, Outcome::notRun(NotRunReason::ReplicaBehind, "the primary is expected to answer sooner"), false, std::nullopt);
        return true;
    }
    TimePoint giveUpAt = pending->arrivedAt + this->catchUp.getMaximumWait(pending->hop.alternativeCost);
    this->waitingReads.push_back({ pending, *point, std::min(giveUpAt, pending->deadline) });
    this->dependencies.requestFastProbes(this->database.id);
    return true;
}

void UpstreamGate::enqueue(const std::shared_ptr<PendingRequest>& pending)
{
    const Request& request = pending->hop.request;
    RankQueue::Ticket ticket = this->nextTicket++;
    std::optional<Outcome> refusal = this->queue.offer({ ticket, request.rank, request.caller, pending->deadline }, this->dependencies.clock.now());
    if (!refusal) {
        this->queued[ticket] = pending;
        return;
    }
    this->finish(pending, std::move(*refusal), false, std::nullopt);
}

void UpstreamGate::dispatch()
{
    this->queue.setConcurrency(this->limit.getLimit());
    while (this->numRunning < this->limit.getLimit() && this->startNext()) { }
    this->maintainPool();
}

bool UpstreamGate::startNext()
{
    bool isRetry = !this->retries.empty();
    if (!isRetry && this->queue.isEmpty())
        return false;

    std::optional<ConnectionPool::Handle> connection = this->connections.acquire();
    if (!connection)
        return false;

    std::shared_ptr<PendingRequest> pending;
    if (isRetry) {
        pending = this->retries.front();
        this->retries.pop_front();
        this->start(pending, *connection);
        return true;
    }

    RankQueue::Ticket ticket = this->queue.takeNext(this->dependencies.clock.now())->ticket;
    pending = this->queued[ticket];
    this->queued.erase(ticket);
    bool isOpenTransaction = !pending->hop.request.transaction.isEmpty();
    if (!isOpenTransaction) {
        this->start(pending, *connection);
        return true;
    }
    this->connections.release(*connection, true, false);
    this->continueTransaction(pending);
    return true;
}

void UpstreamGate::start(const std::shared_ptr<PendingRequest>& pending, ConnectionPool::Handle connection)
{
    TimePoint now = this->dependencies.clock.now();
    if (pending->numTries == 0)
        this->dependencies.metrics.onQueueWait(pending->hop.request.rank, std::chrono::duration_cast<Duration>(now - pending->arrivedAt));
    pending->numTries++;
    pending->connection = connection;
    pending->startedAt = now;
    pending->numRunningAtStart = ++this->numRunning;
    if (pending->hop.request.key)
        this->pruning.onKeyedWrite();
    pending->runner.emplace(makePlan(pending->hop.request, this->profile.statusSql));
    this->sendStep(pending, pending->runner->start());
}

void UpstreamGate::continueTransaction(const std::shared_ptr<PendingRequest>& pending)
{
    std::optional<ConnectionPool::Handle> connection = this->transactions.find(pending->hop.request.transaction);
    if (connection)
        this->start(pending, *connection);
    else
        this->finish(pending, Outcome::notRun(NotRunReason::TransactionGone, "the transaction ended or was rolled back"), false, std::nullopt);
}

void UpstreamGate::sendStep(const std::shared_ptr<PendingRequest>& pending, const TransactionRunner::Step& step)
{
    pending->stepSentAt = this->dependencies.clock.now();
    this->connections.execute(pending->connection, step.sql, this->getStepTimeout(*pending), [this, pending](const SqlReply& reply) { this->onReply(pending, reply); });
}

void UpstreamGate::onReply(const std::shared_ptr<PendingRequest>& pending, const SqlReply& reply)
{
    TimePoint now = this->dependencies.clock.now();
    Duration latency = std::chrono::duration_cast<Duration>(now - pending->stepSentAt);
    if (reply.status != SqlReply::Status::Lost) {
        this->limit.onSample(latency, pending->numRunningAtStart);
        this->meanStatementDuration = updateMean(this->meanStatementDuration, latency);
    }
    this->handleStep(pending, pending->runner->onReply(reply), reply.isSilent);
}

void UpstreamGate::handleStep(const std::shared_ptr<PendingRequest>& pending, const TransactionRunner::Step& step, bool wasSilent)
{
    if (step.kind == TransactionRunner::Step::Kind::Send) {
        this->sendStep(pending, step);
        return;
    }

    if (step.status)
        this->group.onStatus(this->upstream.id, *step.status, pending->stepSentAt);
    this->numRunning--;
    this->queue.onFinished(std::chrono::duration_cast<Duration>(this->dependencies.clock.now() - pending->startedAt));
    this->releaseConnection(pending, wasSilent);

    bool isLost = step.outcome.kind == OutcomeKind::Unknown || (step.outcome.kind == OutcomeKind::NotRun && step.outcome.reason == NotRunReason::UpstreamUnavailable);
    if (step.kind == TransactionRunner::Step::Kind::Confirm)
        this->confirmWrite(pending, step);
    else if (isLost && this->retryAfterSilence(pending, wasSilent))
        this->dependencies.metrics.onRetry();
    else if (pending->hop.request.isRead())
        this->finishRead(pending, step);
    else
        this->finish(pending, step.outcome, pending->runner->isInDoubt(), std::nullopt);
    this->dispatch();
}

void UpstreamGate::releaseConnection(const std::shared_ptr<PendingRequest>& pending, bool wasSilent)
{
    if (pending->runner->isTransactionOpen()) {
        this->keepTransaction(pending);
        return;
    }
    this->transactions.end(pending->hop.request.transaction);
    this->connections.release(pending->connection, pending->runner->isConnectionClean(), wasSilent);
}

void UpstreamGate::confirmWrite(const std::shared_ptr<PendingRequest>& pending, const TransactionRunner::Step& step)
{
    TimePoint now = this->dependencies.clock.now();
    LogPoint point = step.point;
    this->group.onCommitStatus(this->upstream.id, *step.status, now);
    this->group.confirm(point, now, pending->deadline, [this, pending, point, now, outcome = step.outcome](ConfirmationTracker::Verdict verdict) {
        this->dependencies.metrics.onConfirmation(std::chrono::duration_cast<Duration>(this->dependencies.clock.now() - now));
        switch (verdict) {
        case ConfirmationTracker::Verdict::Confirmed:
            this->finish(pending, outcome, false, point);
            break;
        case ConfirmationTracker::Verdict::Lost:
            this->finish(pending, Outcome::unknown("the write was lost in a change of primary"), true, std::nullopt);
            break;
        case ConfirmationTracker::Verdict::Expired:
            this->finish(pending, Outcome::unknown("the write was not confirmed in time"), true, std::nullopt);
            break;
        }
    });
    this->group.resolve(now);
    if (this->group.hasWaitingWrites())
        this->dependencies.requestFastProbes(this->database.id);
}

bool UpstreamGate::retryAfterSilence(const std::shared_ptr<PendingRequest>& pending, bool wasSilent)
{
    const Request& request = pending->hop.request;
    bool isRepeatable = request.isRead() || (request.key && request.action == TransactionAction::None);
    bool hasTime = this->dependencies.clock.now() + this->meanStatementDuration < pending->deadline;
    if (!wasSilent || !isRepeatable || !hasTime || pending->numTries > 1)
        return false;

    this->retries.push_back(pending);
    return true;
}

void UpstreamGate::finish(const std::shared_ptr<PendingRequest>& pending, Outcome outcome, bool isInDoubt, std::optional<LogPoint> point)
{
    HopResponse answer;
    answer.hop = pending->hop.hop;
    answer.outcome = std::move(outcome);
    answer.isInDoubt = isInDoubt || (pending->numTries > 1 && answer.outcome.kind == OutcomeKind::NotRun);
    answer.point = point;
    answer.hint = this->group.getPrimary();
    if (pending->runner && pending->runner->isTransactionOpen())
        answer.transaction = pending->hop.request.transaction;

    bool wasRefusedClaim = answer.outcome.kind == OutcomeKind::NotRun && answer.outcome.reason == NotRunReason::InvalidRequest;
    if (!wasRefusedClaim)
        this->transactions.releaseClaim(pending->hop.request.transaction);
    ResponseHandler handler = std::exchange(pending->handler, nullptr);
    handler(std::move(answer));
}

void UpstreamGate::finishRead(const std::shared_ptr<PendingRequest>& pending, const TransactionRunner::Step& step)
{
    const Request& request = pending->hop.request;
    Outcome outcome = step.outcome;
    if (request.maximumAge && outcome.kind == OutcomeKind::Completed) {
        std::optional<Duration> age = this->group.getAge(*step.status, this->dependencies.clock.now());
        if (!age || *age > *request.maximumAge)
            outcome = Outcome::notRun(NotRunReason::AgeNotProved, "the age of the data cannot be proved to be within max_staleness_ms");
    }

    std::optional<LogPoint> point;
    if (outcome.kind == OutcomeKind::Completed && this->group.isDurable(step.status->head))
        point = step.status->head;
    this->finish(pending, outcome, pending->runner->isInDoubt(), point);
}

Duration UpstreamGate::getStepTimeout(const PendingRequest& pending) const
{
    const Request& request = pending.hop.request;
    Duration remaining = std::max(std::chrono::duration_cast<Duration>(pending.deadline - this->dependencies.clock.now()), Duration(std::chrono::milliseconds(1)));
    bool isRepeatable = request.isRead() || (request.key && request.action == TransactionAction::None);
    if (!isRepeatable || pending.numTries > 1)
        return remaining;
    return std::min(remaining, std::max(minimumSilenceTimeout, this->meanStatementDuration * silenceTimeoutFactor));
}

void UpstreamGate::pruneKeys()
{
    TimePoint now = this->dependencies.clock.now();
    std::optional<PrimaryHint> primary = this->group.getPrimary();
    bool isPrimary = primary && primary->upstream == this->upstream.id;
    if (!isPrimary || !this->pruning.isDue(now))
        return;
    WallTime oldest = this->dependencies.clock.wallNow() - this->profile.keyRetention - pruneMargin;
    this->execute(makePruneRequest(this->database.id, this->upstream.id, oldest), [](const HopResponse&) {});
}

void UpstreamGate::maintainPool()
{
    std::size_t numQueued = this->queued.size() + this->retries.size();
    int numUseful = std::max(0, this->limit.getLimit() - this->numRunning);
    this->connections.maintain(std::min(static_cast<int>(numQueued), numUseful));
}

void UpstreamGate::expireTransactions()
{
    for (ConnectionPool::Handle connection : this->transactions.takeIdle(this->dependencies.clock.now(), this->transactionIdleTimeout))
        this->connections.release(connection, false, false);
}

} // namespace lentiljunction
