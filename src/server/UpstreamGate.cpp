#include "UpstreamGate.h"

#include "TransactionPlans.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// A first try without an answer is given up after this time, when it may be repeated.
    constexpr Duration shortestSilence = std::chrono::milliseconds(250);
    constexpr int silenceFactor = 10;
    constexpr Duration initialStatement = std::chrono::milliseconds(2);
    constexpr int memory = 8;
    constexpr Duration gateSpareLifetime = std::chrono::seconds(30);
    constexpr Duration candidateSpareLifetime = std::chrono::seconds(3);
    /// Keys are kept this much longer than they are accepted, because clocks of instances differ.
    constexpr std::chrono::seconds pruneMargin = std::chrono::hours(1);

    Duration blend(Duration mean, Duration sample)
    {
        return (mean * (memory - 1) + sample) / memory;
    }

} // namespace

UpstreamGate::UpstreamGate(Environment environment, const Bundle& bundle, const DatabaseConfig& database, const UpstreamConfig& upstream, GroupState& group)
    : environment(std::move(environment))
    , database(database)
    , upstream(upstream)
    , profile(bundle.getProfile(database))
    , transactionIdle(bundle.limits.transactionIdle)
    , group(group)
    , queue(bundle.ranks)
    , limit(this->profile.slots)
    , connections({ this->environment.loop, this->environment.clock, this->environment.metrics, this->environment.connector }, upstream, this->profile, [this] { this->pump(); })
    , transactions(this->environment.self.toString() + "~" + upstream.id.toString())
    , meanStatement(initialStatement)
{
}

void UpstreamGate::setBundle(const Bundle& bundle, const DatabaseConfig& newDatabase)
{
    this->database = newDatabase;
    this->profile = bundle.getProfile(newDatabase);
    this->transactionIdle = bundle.limits.transactionIdle;
    this->queue.setRanks(bundle.ranks);
}

void UpstreamGate::execute(HopRequest hop, AnswerHandler handler)
{
    std::shared_ptr<Work> work = std::make_shared<Work>();
    work->arrivedAt = this->environment.clock.now();
    work->deadline = work->arrivedAt + hop.remaining;
    work->hop = std::move(hop);
    work->handler = std::move(handler);

    std::optional<Outcome> refusal = this->checkBeforeQueue(*work);
    if (refusal) {
        this->finish(work, std::move(*refusal), false, std::nullopt);
        return;
    }
    if (this->waitForReplica(work))
        return;
    this->enqueue(work);
    this->pump();
}

void UpstreamGate::setStanding(Standing standing)
{
    switch (standing) {
    case Standing::Gate:
        this->connections.setRetention(this->profile.warmConnections, gateSpareLifetime);
        break;
    case Standing::Candidate:
        this->connections.setRetention(0, candidateSpareLifetime);
        break;
    case Standing::Former:
        this->connections.setRetention(0, Duration(0));
        break;
    }
}

void UpstreamGate::onGroupChanged()
{
    const UpstreamStatus* status = this->group.findStatus(this->upstream.id);
    if (status == nullptr)
        return;

    TimePoint now = this->environment.clock.now();
    std::vector<WaitingRead> waiting = std::exchange(this->waitingReads, {});
    for (const WaitingRead& read : waiting) {
        Duration waited = std::chrono::duration_cast<Duration>(now - read.work->arrivedAt);
        bool isBehind = status->getCoverage(read.point) == Coverage::Behind;
        if (!isBehind) {
            this->catchUp.onCaughtUp(waited);
            this->enqueue(read.work);
        } else if (now < read.giveUpAt) {
            this->waitingReads.push_back(read);
        } else {
            this->catchUp.onGivenUp(waited);
            this->finish(read.work, Outcome::notRun(NotRunReason::ReplicaBehind, "the replica did not catch up in time"), false, std::nullopt);
        }
    }
    this->pump();
}

void UpstreamGate::onTick()
{
    this->onGroupChanged();
    for (const RankQueue::Request& expired : this->queue.takeExpired(this->environment.clock.now())) {
        std::shared_ptr<Work> work = this->queued[expired.ticket];
        this->queued.erase(expired.ticket);
        this->finish(work, Outcome::notRun(NotRunReason::DeadlinePassed, "the deadline passed in the queue"), false, std::nullopt);
    }
    this->expireTransactions();
    this->pruneKeys();
    this->connections.probeIdle();
    this->pump();
}

bool UpstreamGate::isIdle() const
{
    return this->queue.isEmpty() && this->numRunning == 0 && this->transactions.isEmpty() && this->waitingReads.empty() && this->repeats.empty();
}

std::optional<Outcome> UpstreamGate::checkBeforeQueue(const Work& work)
{
    const Request& request = work.hop.request;
    bool isOpenTransaction = request.action != TransactionAction::None && request.action != TransactionAction::Begin;
    if (isOpenTransaction)
        return this->transactions.claim(request.transaction);

    if (this->isLeaving)
        return Outcome::notRun(NotRunReason::UpstreamLeaving, "the upstream leaves");
    if (request.isRead())
        return std::nullopt;

    std::optional<PrimaryHint> primary = this->group.getPrimary();
    if (primary && primary->upstream != this->upstream.id)
        return Outcome::notRun(NotRunReason::NotPrimary, "another upstream is the primary");
    if (!this->group.isPrimaryReachable())
        return Outcome::notRun(NotRunReason::NoPrimary, "the primary does not answer; a replacement is under way", std::chrono::milliseconds(200));
    return std::nullopt;
}

bool UpstreamGate::waitForReplica(const std::shared_ptr<Work>& work)
{
    const Request& request = work->hop.request;
    std::optional<LogPoint> point = request.session.find(request.database);
    const UpstreamStatus* status = this->group.findStatus(this->upstream.id);
    bool isBehind = request.isRead() && point && status != nullptr && status->getCoverage(*point) == Coverage::Behind;
    if (!isBehind)
        return false;

    if (!this->catchUp.isWaitWorthwhile(work->hop.alternativeCost)) {
        this->catchUp.onSkipped();
        this->finish(work, Outcome::notRun(NotRunReason::ReplicaBehind, "the primary is expected to answer sooner"), false, std::nullopt);
        return true;
    }
    TimePoint giveUpAt = work->arrivedAt + this->catchUp.getLongestWait(work->hop.alternativeCost);
    this->waitingReads.push_back({ work, *point, std::min(giveUpAt, work->deadline) });
    this->environment.requestFastProbes(this->database.id);
    return true;
}

void UpstreamGate::enqueue(const std::shared_ptr<Work>& work)
{
    const Request& request = work->hop.request;
    RankQueue::Ticket ticket = this->nextTicket++;
    std::optional<Outcome> refusal = this->queue.offer({ ticket, request.rank, request.caller, work->deadline }, this->environment.clock.now());
    if (!refusal) {
        this->queued[ticket] = work;
        return;
    }
    this->finish(work, std::move(*refusal), false, std::nullopt);
}

void UpstreamGate::pump()
{
    this->queue.setConcurrency(this->limit.getLimit());
    while (this->numRunning < this->limit.getLimit() && this->startNext()) { }
    this->maintainPool();
}

bool UpstreamGate::startNext()
{
    bool isRepeat = !this->repeats.empty();
    if (!isRepeat && this->queue.isEmpty())
        return false;

    std::optional<ConnectionPool::Handle> connection = this->connections.acquire();
    if (!connection)
        return false;

    std::shared_ptr<Work> work;
    if (isRepeat) {
        work = this->repeats.front();
        this->repeats.pop_front();
        this->start(work, *connection);
        return true;
    }

    RankQueue::Ticket ticket = this->queue.takeNext(this->environment.clock.now())->ticket;
    work = this->queued[ticket];
    this->queued.erase(ticket);
    bool isOpenTransaction = !work->hop.request.transaction.isEmpty();
    if (!isOpenTransaction) {
        this->start(work, *connection);
        return true;
    }
    this->connections.release(*connection, true, false);
    this->continueTransaction(work);
    return true;
}

void UpstreamGate::start(const std::shared_ptr<Work>& work, ConnectionPool::Handle connection)
{
    TimePoint now = this->environment.clock.now();
    if (work->numTries == 0)
        this->environment.metrics.onQueueWait(work->hop.request.rank, std::chrono::duration_cast<Duration>(now - work->arrivedAt));
    work->numTries++;
    work->connection = connection;
    work->startedAt = now;
    work->numRunningAtStart = ++this->numRunning;
    if (work->hop.request.key)
        this->pruning.onKeyedWrite();
    work->runner.emplace(makePlan(work->hop.request, this->profile.statusSql));
    this->sendStep(work, work->runner->start());
}

void UpstreamGate::continueTransaction(const std::shared_ptr<Work>& work)
{
    std::optional<ConnectionPool::Handle> connection = this->transactions.find(work->hop.request.transaction);
    if (connection)
        this->start(work, *connection);
    else
        this->finish(work, Outcome::notRun(NotRunReason::TransactionGone, "the transaction ended or was rolled back"), false, std::nullopt);
}

void UpstreamGate::sendStep(const std::shared_ptr<Work>& work, const TransactionRunner::Step& step)
{
    work->stepSentAt = this->environment.clock.now();
    this->connections.execute(work->connection, step.sql, this->getStepTimeout(*work), [this, work](const SqlReply& reply) { this->onReply(work, reply); });
}

void UpstreamGate::onReply(const std::shared_ptr<Work>& work, const SqlReply& reply)
{
    TimePoint now = this->environment.clock.now();
    Duration latency = std::chrono::duration_cast<Duration>(now - work->stepSentAt);
    if (reply.status != SqlReply::Status::Lost) {
        this->limit.onSample(latency, work->numRunningAtStart);
        this->meanStatement = blend(this->meanStatement, latency);
    }
    this->handleStep(work, work->runner->onReply(reply), reply.isSilent);
}

void UpstreamGate::handleStep(const std::shared_ptr<Work>& work, const TransactionRunner::Step& step, bool wasSilent)
{
    if (step.kind == TransactionRunner::Step::Kind::Send) {
        this->sendStep(work, step);
        return;
    }

    if (step.status)
        this->group.onStatus(this->upstream.id, *step.status, work->stepSentAt);
    this->numRunning--;
    this->queue.onFinished(std::chrono::duration_cast<Duration>(this->environment.clock.now() - work->startedAt));
    this->releaseConnection(work, wasSilent);

    bool isLost = step.outcome.kind == OutcomeKind::Unknown || (step.outcome.kind == OutcomeKind::NotRun && step.outcome.reason == NotRunReason::UpstreamUnavailable);
    if (step.kind == TransactionRunner::Step::Kind::Confirm)
        this->confirmWrite(work, step);
    else if (isLost && this->tryAgain(work, wasSilent))
        this->environment.metrics.onRetry();
    else if (work->hop.request.isRead())
        this->finishRead(work, step);
    else
        this->finish(work, step.outcome, work->runner->isInDoubt(), std::nullopt);
    this->pump();
}

void UpstreamGate::releaseConnection(const std::shared_ptr<Work>& work, bool wasSilent)
{
    if (work->runner->isTransactionOpen()) {
        this->keepTransaction(work);
        return;
    }
    this->transactions.end(work->hop.request.transaction);
    this->connections.release(work->connection, work->runner->isConnectionClean(), wasSilent);
}

void UpstreamGate::confirmWrite(const std::shared_ptr<Work>& work, const TransactionRunner::Step& step)
{
    TimePoint now = this->environment.clock.now();
    LogPoint point = step.point;
    this->group.onCommitStatus(this->upstream.id, *step.status, now);
    this->group.confirm(point, now, work->deadline, [this, work, point, now, outcome = step.outcome](ConfirmationTracker::Verdict verdict) {
        this->environment.metrics.onConfirmation(std::chrono::duration_cast<Duration>(this->environment.clock.now() - now));
        switch (verdict) {
        case ConfirmationTracker::Verdict::Confirmed:
            this->finish(work, outcome, false, point);
            break;
        case ConfirmationTracker::Verdict::Lost:
            this->finish(work, Outcome::unknown("the write was lost in a change of primary"), true, std::nullopt);
            break;
        case ConfirmationTracker::Verdict::Expired:
            this->finish(work, Outcome::unknown("the write was not confirmed in time"), true, std::nullopt);
            break;
        }
    });
    this->group.resolve(now);
    if (this->group.hasWaitingWrites())
        this->environment.requestFastProbes(this->database.id);
}

bool UpstreamGate::tryAgain(const std::shared_ptr<Work>& work, bool wasSilent)
{
    const Request& request = work->hop.request;
    bool isRepeatable = request.isRead() || (request.key && request.action == TransactionAction::None);
    bool hasTime = this->environment.clock.now() + this->meanStatement < work->deadline;
    if (!wasSilent || !isRepeatable || !hasTime || work->numTries > 1)
        return false;

    this->repeats.push_back(work);
    return true;
}

void UpstreamGate::finish(const std::shared_ptr<Work>& work, Outcome outcome, bool isInDoubt, std::optional<LogPoint> point)
{
    HopResponse answer;
    answer.hop = work->hop.hop;
    answer.outcome = std::move(outcome);
    answer.isInDoubt = isInDoubt || (work->numTries > 1 && answer.outcome.kind == OutcomeKind::NotRun);
    answer.point = point;
    answer.hint = this->group.getPrimary();
    if (work->runner && work->runner->isTransactionOpen())
        answer.transaction = work->hop.request.transaction;

    bool wasRefusedClaim = answer.outcome.kind == OutcomeKind::NotRun && answer.outcome.reason == NotRunReason::InvalidRequest;
    if (!wasRefusedClaim)
        this->transactions.unclaim(work->hop.request.transaction);
    AnswerHandler handler = std::exchange(work->handler, nullptr);
    handler(std::move(answer));
}

void UpstreamGate::finishRead(const std::shared_ptr<Work>& work, const TransactionRunner::Step& step)
{
    const Request& request = work->hop.request;
    Outcome outcome = step.outcome;
    if (request.maximumAge && outcome.kind == OutcomeKind::Completed) {
        std::optional<Duration> age = this->group.getAge(*step.status, this->environment.clock.now());
        if (!age || *age > *request.maximumAge)
            outcome = Outcome::notRun(NotRunReason::AgeNotProved, "the age of the data cannot be proved to be within max_staleness_ms");
    }

    std::optional<LogPoint> point;
    if (outcome.kind == OutcomeKind::Completed && this->group.isDurable(step.status->head))
        point = step.status->head;
    this->finish(work, outcome, work->runner->isInDoubt(), point);
}

Duration UpstreamGate::getStepTimeout(const Work& work) const
{
    const Request& request = work.hop.request;
    Duration remaining = std::max(std::chrono::duration_cast<Duration>(work.deadline - this->environment.clock.now()), Duration(std::chrono::milliseconds(1)));
    bool isRepeatable = request.isRead() || (request.key && request.action == TransactionAction::None);
    if (!isRepeatable || work.numTries > 1)
        return remaining;
    return std::min(remaining, std::max(shortestSilence, this->meanStatement * silenceFactor));
}

void UpstreamGate::pruneKeys()
{
    TimePoint now = this->environment.clock.now();
    std::optional<PrimaryHint> primary = this->group.getPrimary();
    bool isWriter = primary && primary->upstream == this->upstream.id;
    if (!isWriter || !this->pruning.isDue(now))
        return;
    WallTime oldest = this->environment.clock.wallNow() - this->profile.keyRetention - pruneMargin;
    this->execute(makePruneRequest(this->database.id, this->upstream.id, oldest), [](const HopResponse&) {});
}

void UpstreamGate::maintainPool()
{
    std::size_t numQueued = this->queued.size() + this->repeats.size();
    int numUseful = std::max(0, this->limit.getLimit() - this->numRunning);
    this->connections.maintain(std::min(static_cast<int>(numQueued), numUseful));
}

void UpstreamGate::expireTransactions()
{
    for (ConnectionPool::Handle connection : this->transactions.takeIdle(this->environment.clock.now(), this->transactionIdle))
        this->connections.release(connection, false, false);
}

} // namespace lentiljunction
