#include "StatementRun.h"

#include "SessionKey.h"

#include "lentiljunction/core/HandlerGuard.h"
#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Delay before a statement is sent again to an upstream that was busy or not the primary.
    constexpr std::chrono::milliseconds retryPause { 15 };

} // namespace

StatementRun::StatementRun(TrafficState& state, const SessionContext& context, StatementRequest request, Callback callback)
    : state(state)
    , context(context)
    , request(std::move(request))
    , callback(std::move(callback))
    , deadlines(*this->request.requirement.route, this->request.statement.verb, this->request.arrivedAt)
    , timer(state.getLoop(), state.getClock(), [this] { this->guard([this] { this->onTimer(); }); })
    , health(state)
{
}

void StatementRun::startOnHeldConnection(const HeldConnection& newHeld)
{
    this->isOnHeldConnection = true;
    this->held = newHeld;
    this->target.source = newHeld.source;
    this->held.source->activate(this->held.connection);
    this->attemptNumber++;
    this->prepare();
}

void StatementRun::onKnownStateChanged()
{
    if (!this->isWaitingForTarget || this->isDone)
        return;
    this->isWaitingForTarget = false;
    this->guard([this] { this->attempt(); });
}

void StatementRun::guard(const std::function<void()>& handler)
{
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    if (HandlerGuard::run("statement", handler) || this->isDone)
        return;
    this->attemptNumber++;
    this->isAwaitingVerification = false;
    bool mayHaveRun = this->isStatementSent || this->isOnHeldConnection;
    this->failure.set(mayHaveRun ? FailureCause::ConnectionLostAfterSend : FailureCause::ConnectionLostBeforeSend);
    this->discardConnection();
    this->concludeAttempt(mayHaveRun ? AttemptOutcome::ConnectionLost : AttemptOutcome::NotSent, SessionReply(), false);
}

void StatementRun::cancel()
{
    this->isDone = true;
    if (this->ticket != 0)
        this->target.source->cancelAcquire(this->ticket);
    this->discardConnection();
}

bool StatementRun::needsPrimary() const
{
    AccessMode mode = this->request.traits.isInTransaction ? this->request.transactionMode : this->request.traits.mode;
    return lentiljunction::needsPrimary(*this->request.requirement.route, mode);
}

bool StatementRun::refuseInvalidKey()
{
    KeyVerdict verdict = checkRunningKey(this->state, this->request.requirement.route->database, this->request.key, this->request.workspace);
    if (mayRun(verdict))
        return false;
    this->attemptNumber++;
    this->failure.set(toFailureCause(verdict));
    this->replyToCaller(decideKeyRefusal(verdict, this->request.traits.isInTransaction, this->request.traits.isCommit));
    return true;
}

void StatementRun::attempt()
{
    if (this->refuseInvalidKey())
        return;
    this->attemptNumber++;
    this->isStatementSent = false;
    std::optional<Target> found = this->needsPrimary() ? this->state.findPrimary(this->request.requirement.route->group) : this->state.findReadTarget(this->request.requirement);
    if (!found)
        return this->waitForTarget();

    this->target = *found;
    this->state.getHealth().onStarted(found->source->getUpstream().id);
    TimePoint acquireDeadline = this->deadlines.getAcquireDeadline(this->needsPrimary(), this->state.getClock().now());
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    ConnectionSource::Request needed { this->request.requirement.route->rank, this->request.caller, acquireDeadline, &this->context, this->request.workspace };
    needed.mode = this->request.traits.isInTransaction ? this->request.transactionMode : this->request.traits.mode;
    needed.mayDecline = !this->needsPrimary() && found->hasAlternative && this->state.getHealth().isEnabled();
    ConnectionSource::Ticket pendingTicket = this->target.source->acquire(needed, [self](StatementConnection* connection, ConnectionSource::Denial denial) {
        self->ticket = 0;
        if (!self->isDone)
            self->guard([&] { self->onGranted(connection, denial); });
        else if (connection != nullptr)
            self->target.source->release(connection);
    });
    if (pendingTicket != 0)
        this->ticket = pendingTicket;
}

void StatementRun::waitForTarget()
{
    this->failure.set(this->needsPrimary() ? FailureCause::NoPrimary : FailureCause::NoFreshData);
    // Freshness proofs come from the primary, so reads wait for its return as well.
    if (!this->state.decidePrimary(this->request.requirement.route->group).isUsable())
        this->state.setPrimaryUsable(this->request.requirement.route->group, false);
    if (!this->isWaitWorthwhile())
        return this->concludeAttempt(AttemptOutcome::NotSent, SessionReply(), false);
    this->isWaitingForTarget = true;
    this->request.requirement.tried.clear();
    this->timer.setTime(this->deadlines.getUpstreamWaitDeadline());
}

bool StatementRun::isWaitWorthwhile() const
{
    const GroupId& group = this->request.requirement.route->group;
    // While the primary is usable, a new freshness proof arrives soon.
    bool isProofExpected = !this->needsPrimary() && this->state.decidePrimary(group).isUsable();
    return this->deadlines.isWaitWorthwhile(this->state.getClock().now(), isProofExpected ? std::nullopt : this->state.getExpectedReturn(group));
}

void StatementRun::onGranted(StatementConnection* connection, ConnectionSource::Denial denial)
{
    if (connection != nullptr) {
        this->held = { this->target.source, connection, this->target.primary };
        return this->prepare();
    }
    if (denial != ConnectionSource::Denial::Unreachable) {
        this->failure.setWaitTooLong(this->target.source->getExpectedWait(this->request.requirement.route->rank));
        this->request.requirement.tried.insert(this->target.source->getUpstream().id);
        // A read can use another upstream; a write would only queue again at the same one.
        bool hasOther = !this->needsPrimary() && this->mayRetry() && this->state.findReadTarget(this->request.requirement);
        return hasOther ? this->attempt() : this->concludeAttempt(AttemptOutcome::NotSent, SessionReply(), false);
    }
    this->failure.set(FailureCause::Unreachable);
    if (this->needsPrimary())
        this->state.setPrimaryUsable(this->request.requirement.route->group, false);
    this->request.requirement.tried.insert(this->target.source->getUpstream().id);
    this->retry();
}

void StatementRun::prepare()
{
    if (this->refuseInvalidKey())
        return;
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    std::vector<UpstreamCommand> commands = this->context.planPreparation(this->held.connection->context, this->findPreparedShape(), !this->isOnHeldConnection);
    bool mustBegin = this->request.traits.isInTransaction && !this->isOnHeldConnection;
    if (mustBegin) {
        UpstreamCommand begin;
        begin.kind = UpstreamCommand::Kind::Begin;
        begin.mode = this->request.transactionMode;
        begin.requiredPoint = this->target.required;
        commands.push_back(begin);
    }
    if (commands.empty())
        return this->send();

    this->timer.setTime(this->deadlines.getDeadline());
    this->sentAt = this->state.getClock().bootNow();
    this->health.onSent();
    // A lost connection runs the callback immediately, which ends this attempt; the remaining commands are not sent.
    std::size_t number = this->attemptNumber;
    for (std::size_t index = 0; index < commands.size() && number == this->attemptNumber; index++) {
        bool isLast = index + 1 == commands.size();
        this->held.connection->send(commands[index], [self, isLast, isBegin = mustBegin && isLast, number](const std::optional<SessionReply>& reply) {
            self->guard([&] { self->onPrepared(reply, isLast, isBegin, number); });
        });
    }
}

void StatementRun::onPrepared(const std::optional<SessionReply>& reply, bool isLast, bool isBegin, std::size_t number)
{
    if (this->isDone || number != this->attemptNumber)
        return;
    if (reply && reply->isSuccess()) {
        if (isBegin && reply->head)
            this->state.onHead(this->held.connection->getUpstream(), *reply->head, this->sentAt);
        if (isLast)
            this->basis = this->makeBasis(AnswerBasis::Kind::None);
        if (isLast && this->request.statement.verb == SessionVerb::Begin)
            this->forwardReply(*reply);
        else if (isLast)
            this->send();
        return;
    }
    this->attemptNumber++;
    this->health.report(this->held, reply ? classifyReply(reply->code, AccessMode::Write) : UpstreamResult::Reset);
    if (!reply) {
        // The statement itself was not sent.
        this->failure.set(FailureCause::ConnectionLostBeforeSend);
        this->discardConnection();
        return this->concludeAttempt(this->isOnHeldConnection ? AttemptOutcome::ConnectionLost : AttemptOutcome::NotSent, SessionReply());
    }
    this->failure.set(FailureCause::RefusedByUpstream, toString(reply->code));
    bool isClean = isBegin && reply->state == TransactionState::Idle && provesNotRun(reply->code);
    this->request.requirement.tried.insert(this->held.connection->getUpstream());
    if (isClean && !this->isOnHeldConnection) {
        HeldConnection released = std::exchange(this->held, HeldConnection());
        released.source->release(released.connection);
    } else {
        this->discardConnection();
    }
    this->concludeAttempt(this->isOnHeldConnection ? AttemptOutcome::ConnectionLost : AttemptOutcome::NotRun, *reply);
}

void StatementRun::send()
{
    // The commands that prepare the connection, or the wait for a slot, take time.
    if (this->refuseInvalidKey())
        return;
    UpstreamCommand command;
    command.id = this->request.statement.id;
    command.kind = UpstreamCommand::Kind::Forward;
    command.argument = this->request.statement.text;
    if (const PreparedShape* shape = this->findPreparedShape()) {
        command.kind = UpstreamCommand::Kind::Execute;
        command.name = SessionContext::getSharedName(*shape);
        command.argument = this->request.statement.argument;
    }
    if (!this->request.traits.isInTransaction)
        command.requiredPoint = this->target.required;

    this->isStatementSent = true;
    this->numSent++;
    this->sentAt = this->state.getClock().bootNow();
    this->health.onSent();
    TimePoint limit = this->deadlines.getDeadline();
    if (!this->request.traits.isInTransaction && this->request.traits.mode == AccessMode::Read && this->numSent < maximumAttempts)
        limit = this->deadlines.getReadAnswerDeadline(this->state.getClock().now(), this->held.source->getLatency());
    this->timer.setTime(limit);
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    StatementConnection::ReplyCallback callback = [self, number = this->attemptNumber](std::optional<SessionReply> reply) {
        if (!self->isDone && number == self->attemptNumber)
            self->guard([&] { self->onReply(std::move(reply)); });
    };
    if (this->request.traits.isInTransaction && !this->request.traits.isCommit)
        this->held.connection->send(command, std::move(callback));
    else
        this->held.connection->sendLast(command, std::move(callback));
}

void StatementRun::onReply(std::optional<SessionReply> reply)
{
    this->attemptNumber++;
    if (!reply && this->held.connection->wasGivenUp()) {
        this->failure.set(FailureCause::NoMemory);
        this->discardConnection();
        return this->concludeAttempt(AttemptOutcome::ConnectionLost, SessionReply(), false);
    }
    if (!reply) {
        this->health.report(this->held, UpstreamResult::Reset);
        this->failure.set(FailureCause::ConnectionLostAfterSend);
        this->discardConnection();
        return this->concludeAttempt(AttemptOutcome::ConnectionLost, SessionReply());
    }
    if (this->held.primary && !provesNotRun(reply->code))
        this->state.setPrimaryUsable(this->request.requirement.route->group, true);
    if (reply->head)
        this->state.onHead(this->held.connection->getUpstream(), *reply->head, this->sentAt);
    AttemptOutcome outcome = this->classify(*reply);
    AnswerBasis::Kind successBasis = this->held.primary ? AnswerBasis::Kind::Lease : AnswerBasis::Kind::Replica;
    this->basis = this->makeBasis(outcome == AttemptOutcome::Success ? successBasis : AnswerBasis::Kind::None);
    this->health.onReply(this->held, *reply, this->request.traits, outcome);
    bool needsVerification = decideReply(this->request.traits, outcome, false).kind != ReplyDecision::Kind::Deliver;
    bool mayBeVerified = outcome == AttemptOutcome::SuccessUnverified && needsVerification && !this->state.hasValidLease(this->request.requirement.route->group)
        && this->state.isKnownPrimary(this->request.requirement.route->group, *this->held.primary);
    if (mayBeVerified)
        return this->verifyPrimary(std::move(*reply));
    this->concludeAttempt(outcome, std::move(*reply));
}

void StatementRun::verifyPrimary(SessionReply reply)
{
    this->isAwaitingVerification = true;
    // No statement runs on the connection meanwhile, and the verification needs slots of the upstreams.
    this->held.source->deactivate(this->held.connection);
    this->timer.setTime(this->deadlines.getDeadline());
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    const GroupId group = this->request.requirement.route->group;
    const PrimaryTenure primary = *this->held.primary;
    this->state.getVerifier().verify(group, primary, [self, group, primary, reply = std::move(reply)](bool isVerified) {
        if (self->isDone || !std::exchange(self->isAwaitingVerification, false))
            return;
        self->guard([&] {
            bool isValid = isVerified && self->state.isKnownPrimary(group, primary) && !self->mayPredateReturn(reply);
            self->basis = self->makeBasis(isValid ? AnswerBasis::Kind::Verification : AnswerBasis::Kind::None);
            if (isValid && reply.head)
                self->state.addVerifiedHead(group, primary, *reply.head, self->sentAt);
            self->concludeAttempt(isValid ? AttemptOutcome::Success : AttemptOutcome::SuccessUnverified, reply);
        });
    });
}

AttemptOutcome StatementRun::classify(const SessionReply& reply) const
{
    if (provesNotRun(reply.code))
        return AttemptOutcome::NotRun;
    if (reply.code == ReplyCode::Failed && !this->needsPrimary() && this->health.mayCompareError(this->request.traits, this->target))
        return AttemptOutcome::ErrorOfUpstream;
    if (!reply.isSuccess())
        return AttemptOutcome::Error;
    if (!this->held.primary)
        return AttemptOutcome::Success;
    const GroupId& group = this->request.requirement.route->group;
    bool isVerified = this->state.hasValidLease(group) && this->state.isKnownPrimary(group, *this->held.primary) && !this->mayPredateReturn(reply);
    return isVerified ? AttemptOutcome::Success : AttemptOutcome::SuccessUnverified;
}

bool StatementRun::mayPredateReturn(const SessionReply& reply) const
{
    bool isWrite = this->request.traits.isCommit || this->request.traits.mode == AccessMode::Write;
    return isWrite && reply.head && this->state.mayPredateReturn(this->request.requirement.route->group, *this->held.primary, *reply.head);
}

AnswerBasis StatementRun::makeBasis(AnswerBasis::Kind kind) const
{
    const PrimaryView& view = this->state.getView();
    std::uint64_t generation = this->held.primary ? this->held.primary->generation : view.getGeneration(this->request.requirement.route->group);
    return { kind, generation, view.latest.revision };
}

bool StatementRun::mayResend(AttemptOutcome outcome, const SessionReply& reply) const
{
    bool isBusy = outcome == AttemptOutcome::NotRun && reply.code == ReplyCode::Busy && reply.state == TransactionState::Open;
    return isBusy && this->request.traits.isInTransaction && this->held.isHeld() && this->state.getClock().now() + retryPause < this->deadlines.getDeadline();
}

void StatementRun::concludeAttempt(AttemptOutcome outcome, SessionReply reply, bool mayTryAgain)
{
    if (outcome == AttemptOutcome::NotRun && reply.code == ReplyCode::Busy && this->held.isHeld())
        this->held.source->onRefused(this->held.connection);
    if (outcome == AttemptOutcome::NotRun)
        this->failure.set(FailureCause::RefusedByUpstream, toString(reply.code));
    if (outcome == AttemptOutcome::SuccessUnverified)
        this->failure.set(FailureCause::MayBeReplaced);
    if (this->mayResend(outcome, reply)) {
        this->isResendPending = true;
        return this->timer.setTime(this->state.getClock().now() + retryPause);
    }

    ReplyDecision decision = decideReply(this->request.traits, outcome, mayTryAgain && this->mayRetry());
    if (decision.kind == ReplyDecision::Kind::Deliver)
        return this->forwardReply(std::move(reply));
    // The read did run at one upstream, so its error is the answer when no other upstream gives one.
    if (decision.kind == ReplyDecision::Kind::Answer && this->health.getComparedError()) {
        this->discardConnection();
        return this->forwardReply(std::move(*this->health.getComparedError()));
    }
    if (decision.kind == ReplyDecision::Kind::Answer)
        return this->replyToCaller(decision);
    if (this->held.isHeld()) {
        this->request.requirement.tried.insert(this->held.connection->getUpstream());
        if (this->request.traits.isInTransaction)
            this->held.rollBackAndRelease();
        HeldConnection released = std::exchange(this->held, HeldConnection());
        if (released.isHeld())
            released.source->release(released.connection);
    }
    this->retry();
}

void StatementRun::retry()
{
    if (!this->mayRetry() || (this->needsPrimary() && !this->isWaitWorthwhile()))
        return this->concludeAttempt(AttemptOutcome::NotSent, SessionReply(), false);
    this->failure.logRetry(this->state, this->target, this->request.statement.id, this->numSent);
    // Another replica can be tried immediately; a retry on the primary needs a delay.
    if (!this->needsPrimary() && this->state.findReadTarget(this->request.requirement))
        return this->attempt();
    this->isWaitingForTarget = true;
    this->request.requirement.tried.clear();
    this->timer.setTime(this->state.getClock().now() + retryPause);
}

void StatementRun::onTimer()
{
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    if (this->isDone)
        return;
    if (this->isWaitingForTarget) {
        this->isWaitingForTarget = false;
        return this->attempt();
    }
    if (!this->held.isHeld())
        return;
    if (std::exchange(this->isResendPending, false))
        return this->send();
    if (std::exchange(this->isAwaitingVerification, false))
        return this->concludeAttempt(AttemptOutcome::SuccessUnverified, SessionReply(), false);
    this->attemptNumber++;
    this->request.requirement.tried.insert(this->held.connection->getUpstream());
    this->health.report(this->held, UpstreamResult::NoAnswer);
    this->failure.set(FailureCause::NoAnswer);
    bool isOver = this->state.getClock().now() >= this->deadlines.getDeadline();
    this->discardConnection();
    if (!this->isStatementSent && isOver)
        return this->concludeAttempt(this->isOnHeldConnection ? AttemptOutcome::ConnectionLost : AttemptOutcome::NotSent, SessionReply(), false);
    if (!this->isStatementSent)
        return this->concludeAttempt(this->isOnHeldConnection ? AttemptOutcome::ConnectionLost : AttemptOutcome::NotSent, SessionReply());
    this->concludeAttempt(isOver ? AttemptOutcome::TimedOut : AttemptOutcome::ConnectionLost, SessionReply());
}

void StatementRun::replyToCaller(const ReplyDecision& decision)
{
    this->discardConnection();
    SessionReply reply;
    reply.code = decision.code;
    reply.state = decision.state;
    reply.message = this->failure.describe() + this->describeExpectedReturn();
    this->finish(std::move(reply));
}

std::string StatementRun::describeExpectedReturn() const
{
    std::optional<TimePoint> expected = this->state.getExpectedReturn(this->request.requirement.route->group);
    if (!expected || !this->needsPrimary())
        return "";
    Duration wait = std::max(Duration(0), std::chrono::duration_cast<Duration>(*expected - this->state.getClock().now()));
    return ", expected again in " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count()) + " ms";
}

void StatementRun::forwardReply(SessionReply reply)
{
    bool isOpen = this->request.traits.isInTransaction && reply.state != TransactionState::Idle;
    if (isOpen && !this->request.traits.isCommit) {
        if (this->held.isHeld())
            this->held.source->deactivate(this->held.connection);
        return this->finish(std::move(reply));
    }
    // A commit ends the transaction for the caller, so no transaction may stay open on the upstream.
    if (isOpen)
        this->held.rollBackAndRelease();
    reply.state = TransactionState::Idle;
    HeldConnection released = std::exchange(this->held, HeldConnection());
    this->finish(std::move(reply));
    if (released.isHeld())
        released.source->release(released.connection);
}

void StatementRun::finish(SessionReply reply)
{
    this->isDone = true;
    this->timer.clear();
    Result result;
    result.numAttempts = this->numSent;
    if (this->target.source != nullptr)
        result.upstream = this->target.source->getUpstream().id;
    bool isCommitted = reply.isSuccess() && this->request.traits.mode == AccessMode::Write && (this->request.traits.isCommit || !this->request.traits.isInTransaction);
    if (isCommitted)
        result.commit = reply.head;
    result.isAcknowledgedWrite = isCommitted;
    result.basis = this->basis;
    result.held = this->held;
    result.cause = reply.isSuccess() ? FailureCause::None : this->failure.get();
    result.reply = std::move(reply);
    Callback done = std::exchange(this->callback, nullptr);
    done(std::move(result));
}

void StatementRun::discardConnection()
{
    HeldConnection dropped = std::exchange(this->held, HeldConnection());
    if (dropped.isHeld())
        dropped.source->discard(dropped.connection);
}

} // namespace lentiljunction
