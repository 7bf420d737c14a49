#include "StatementRun.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Before an upstream that answered that it is busy, or not the primary, is asked again.
    constexpr std::chrono::milliseconds retryPause { 15 };

} // namespace

StatementRun::StatementRun(TrafficState& state, const SessionContext& context, StatementRequest request, Callback callback)
    : state(state)
    , context(context)
    , request(std::move(request))
    , callback(std::move(callback))
    , limits(*this->request.need.route, this->request.statement.verb, this->request.arrivedAt)
    , timer(state.getLoop(), state.getClock(), [this] { this->onTimer(); })
{
}

void StatementRun::startOn(const HeldLink& newHeld)
{
    this->isOnHeldLink = true;
    this->held = newHeld;
    this->target.pool = newHeld.pool;
    this->held.pool->activate(this->held.link);
    this->attemptNumber++;
    this->prepare();
}

void StatementRun::onBeliefsChanged()
{
    if (!this->isWaitingForBeliefs || this->isDone)
        return;
    this->isWaitingForBeliefs = false;
    this->attempt();
}

void StatementRun::cancel()
{
    this->isDone = true;
    if (this->ticket != 0)
        this->target.pool->withdraw(this->ticket);
    this->dropLink();
}

bool StatementRun::needsPrimary() const
{
    AccessMode mode = this->request.kind.isInTransaction ? this->request.transactionMode : this->request.kind.mode;
    return mode == AccessMode::Write || this->request.need.route->consistency == Consistency::Primary;
}

void StatementRun::attempt()
{
    this->attemptNumber++;
    this->isStatementSent = false;
    std::optional<Target> found = this->needsPrimary() ? this->state.findPrimary(this->request.need.route->group) : this->state.findForRead(this->request.need);
    if (!found)
        return this->waitForBeliefs();

    this->target = *found;
    TimePoint claimLimit = this->needsPrimary() ? this->limits.getHoldLimit() : this->limits.getReadClaimLimit(this->state.getClock().now());
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    UpstreamPool::Ticket given = this->target.pool->claim(this->request.need.route->rank, this->request.caller, claimLimit, [self](UpstreamLink* link, UpstreamPool::Denial denial) {
        self->ticket = 0;
        if (!self->isDone)
            self->onGranted(link, denial);
        else if (link != nullptr)
            self->target.pool->release(link);
    });
    if (given != 0)
        this->ticket = given;
}

void StatementRun::waitForBeliefs()
{
    this->trouble.set(this->needsPrimary() ? StatementTrouble::NoPrimary : StatementTrouble::NoFreshData);
    // Proofs of freshness come from the primary, so reads wait for its return as well.
    if (!this->state.findPrimary(this->request.need.route->group))
        this->state.notePrimary(this->request.need.route->group, false);
    if (!this->isWaitWorthwhile())
        return this->conclude(AttemptEvent::NotSent, SessionReply(), false);
    this->isWaitingForBeliefs = true;
    this->request.need.tried.clear();
    this->timer.setTime(this->limits.getHoldLimit());
}

bool StatementRun::isWaitWorthwhile() const
{
    TimePoint now = this->state.getClock().now();
    if (now >= this->limits.getHoldLimit())
        return false;
    // With a primary in use, a proof of freshness is on its way.
    if (!this->needsPrimary() && this->state.findPrimary(this->request.need.route->group))
        return true;
    std::optional<TimePoint> expected = this->state.getExpectedReturn(this->request.need.route->group);
    return !expected || std::max(*expected, now) < this->limits.getHoldLimit();
}

void StatementRun::onGranted(UpstreamLink* link, UpstreamPool::Denial denial)
{
    if (link != nullptr) {
        this->held = { this->target.pool, link, this->target.leader };
        return this->prepare();
    }
    if (denial == UpstreamPool::Denial::TooLong) {
        this->trouble.set(StatementTrouble::WaitTooLong);
        this->request.need.tried.insert(this->target.pool->getUpstream().id);
        // A read has other upstreams to go to; a write would only queue again behind the same work.
        bool hasOther = !this->needsPrimary() && this->mayRetry() && this->state.findForRead(this->request.need);
        return hasOther ? this->attempt() : this->conclude(AttemptEvent::NotSent, SessionReply(), false);
    }
    this->trouble.set(StatementTrouble::Unreachable);
    if (this->needsPrimary())
        this->state.notePrimary(this->request.need.route->group, false);
    this->request.need.tried.insert(this->target.pool->getUpstream().id);
    this->retry();
}

void StatementRun::prepare()
{
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    std::vector<UpstreamCommand> commands = this->context.planPreparation(this->held.link->context, this->findShape(), !this->isOnHeldLink);
    bool mustBegin = this->request.kind.isInTransaction && !this->isOnHeldLink;
    if (mustBegin) {
        UpstreamCommand begin;
        begin.kind = UpstreamCommand::Kind::Begin;
        begin.mode = this->request.transactionMode;
        begin.requiredPoint = this->target.required;
        commands.push_back(begin);
    }
    if (commands.empty())
        return this->send();

    this->timer.setTime(this->limits.getDeadline());
    this->sentAt = this->state.getClock().bootNow();
    // A connection that is lost answers at once; the rest then belongs to nobody.
    std::size_t number = this->attemptNumber;
    for (std::size_t index = 0; index < commands.size() && number == this->attemptNumber; index++) {
        bool isLast = index + 1 == commands.size();
        this->held.link->send(commands[index], [self, isLast, isBegin = mustBegin && isLast, number](const std::optional<SessionReply>& reply) {
            self->onPrepared(reply, isLast, isBegin, number);
        });
    }
}

void StatementRun::onPrepared(const std::optional<SessionReply>& reply, bool isLast, bool isBegin, std::size_t number)
{
    if (this->isDone || number != this->attemptNumber)
        return;
    if (reply && reply->isSuccess()) {
        if (isBegin && reply->head)
            this->state.onHead(this->held.link->getUpstream(), *reply->head, this->sentAt);
        if (isLast && this->request.statement.verb == SessionVerb::Begin)
            this->deliver(*reply);
        else if (isLast)
            this->send();
        return;
    }
    this->attemptNumber++;
    if (!reply) {
        // Nothing of the statement was sent, whatever broke.
        this->trouble.set(StatementTrouble::BrokeBefore);
        this->dropLink();
        return this->conclude(this->isOnHeldLink ? AttemptEvent::LinkLost : AttemptEvent::NotSent, SessionReply());
    }
    this->trouble.set(StatementTrouble::UpstreamAnswered, toString(reply->code));
    bool isClean = isBegin && reply->state == TransactionState::Idle && provesNotRun(reply->code);
    if (isClean && !this->isOnHeldLink) {
        HeldLink released = std::exchange(this->held, HeldLink());
        released.pool->release(released.link);
    } else {
        this->dropLink();
    }
    this->conclude(this->isOnHeldLink ? AttemptEvent::LinkLost : AttemptEvent::NotRun, *reply);
}

void StatementRun::send()
{
    UpstreamCommand command;
    command.id = this->request.statement.id;
    command.kind = UpstreamCommand::Kind::Forward;
    command.argument = this->request.statement.text;
    if (const PreparedShape* shape = this->findShape()) {
        command.kind = UpstreamCommand::Kind::Execute;
        command.name = SessionContext::getSharedName(*shape);
        command.argument = this->request.statement.argument;
    }
    if (!this->request.kind.isInTransaction)
        command.requiredPoint = this->target.required;

    this->isStatementSent = true;
    this->numSent++;
    this->sentAt = this->state.getClock().bootNow();
    TimePoint limit = this->limits.getDeadline();
    if (!this->request.kind.isInTransaction && this->request.kind.mode == AccessMode::Read && this->numSent < maximumAttempts)
        limit = this->limits.getReadPatience(this->state.getClock().now(), this->held.pool->getLatency());
    this->timer.setTime(limit);
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    this->held.link->send(command, [self, number = this->attemptNumber](std::optional<SessionReply> reply) {
        if (!self->isDone && number == self->attemptNumber)
            self->onReply(std::move(reply));
    });
}

void StatementRun::onReply(std::optional<SessionReply> reply)
{
    this->attemptNumber++;
    if (!reply) {
        this->trouble.set(StatementTrouble::BrokeAfter);
        this->dropLink();
        return this->conclude(AttemptEvent::LinkLost, SessionReply());
    }
    if (this->held.leader && !provesNotRun(reply->code))
        this->state.notePrimary(this->request.need.route->group, true);
    if (reply->head)
        this->state.onHead(this->held.link->getUpstream(), *reply->head, this->sentAt);
    AttemptEvent event = this->classify(*reply);
    bool needsProof = decideReply(this->request.kind, event, false).kind != ReplyVerdict::Kind::Deliver;
    bool mayBeProved = event == AttemptEvent::SuccessUnproved && needsProof && !this->state.hasValidLease()
        && this->state.isBelievedLeader(this->request.need.route->group, *this->held.leader);
    if (mayBeProved)
        return this->seekEvidence(std::move(*reply));
    this->conclude(event, std::move(*reply));
}

void StatementRun::seekEvidence(SessionReply reply)
{
    this->isAwaitingEvidence = true;
    // Nothing runs on the connection meanwhile, and the proof itself needs the upstreams.
    this->held.pool->park(this->held.link);
    this->timer.setTime(this->limits.getDeadline());
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    const GroupId group = this->request.need.route->group;
    const PrimaryTenure leader = *this->held.leader;
    this->state.getEvidence().prove(group, leader, [self, group, leader, reply = std::move(reply)](bool isProved) {
        if (self->isDone || !std::exchange(self->isAwaitingEvidence, false))
            return;
        bool isSound = isProved && self->state.isBelievedLeader(group, leader);
        if (isSound && reply.head)
            self->state.onProvedHead(group, leader, *reply.head, self->sentAt);
        self->conclude(isSound ? AttemptEvent::Success : AttemptEvent::SuccessUnproved, reply);
    });
}

AttemptEvent StatementRun::classify(const SessionReply& reply) const
{
    if (provesNotRun(reply.code))
        return AttemptEvent::NotRun;
    if (!reply.isSuccess())
        return AttemptEvent::Error;
    bool isProved = !this->held.leader || (this->state.hasValidLease() && this->state.isBelievedLeader(this->request.need.route->group, *this->held.leader));
    return isProved ? AttemptEvent::Success : AttemptEvent::SuccessUnproved;
}

bool StatementRun::mayResend(AttemptEvent event, const SessionReply& reply) const
{
    bool isBusy = event == AttemptEvent::NotRun && reply.code == ReplyCode::Busy && reply.state == TransactionState::Open;
    return isBusy && this->request.kind.isInTransaction && this->held.isHeld() && this->state.getClock().now() + retryPause < this->limits.getDeadline();
}

void StatementRun::conclude(AttemptEvent event, SessionReply reply, bool mayTryAgain)
{
    if (event == AttemptEvent::NotRun && reply.code == ReplyCode::Busy && this->held.isHeld())
        this->held.pool->onRefused();
    if (event == AttemptEvent::NotRun)
        this->trouble.set(StatementTrouble::UpstreamAnswered, toString(reply.code));
    if (event == AttemptEvent::SuccessUnproved)
        this->trouble.set(StatementTrouble::MayBeReplaced);
    if (this->mayResend(event, reply)) {
        this->isResendPending = true;
        return this->timer.setTime(this->state.getClock().now() + retryPause);
    }

    ReplyVerdict verdict = decideReply(this->request.kind, event, mayTryAgain && this->mayRetry());
    if (verdict.kind == ReplyVerdict::Kind::Deliver)
        return this->deliver(std::move(reply));
    if (verdict.kind == ReplyVerdict::Kind::Answer)
        return this->answer(verdict);
    if (this->held.isHeld()) {
        this->request.need.tried.insert(this->held.link->getUpstream());
        if (this->request.kind.isInTransaction)
            this->held.rollBackAndRelease();
        HeldLink released = std::exchange(this->held, HeldLink());
        if (released.isHeld())
            released.pool->release(released.link);
    }
    this->retry();
}

void StatementRun::retry()
{
    if (!this->mayRetry() || (this->needsPrimary() && !this->isWaitWorthwhile()))
        return this->conclude(AttemptEvent::NotSent, SessionReply(), false);
    this->trouble.logRetry(this->state, this->target, this->request.statement.id, this->numSent);
    // Another replica can be asked at once; the primary needs a moment.
    if (!this->needsPrimary() && this->state.findForRead(this->request.need))
        return this->attempt();
    this->isWaitingForBeliefs = true;
    this->request.need.tried.clear();
    this->timer.setTime(this->state.getClock().now() + retryPause);
}

void StatementRun::onTimer()
{
    std::shared_ptr<StatementRun> self = this->shared_from_this();
    if (this->isDone)
        return;
    if (this->isWaitingForBeliefs) {
        this->isWaitingForBeliefs = false;
        return this->attempt();
    }
    if (!this->held.isHeld())
        return;
    if (std::exchange(this->isResendPending, false))
        return this->send();
    if (std::exchange(this->isAwaitingEvidence, false))
        return this->conclude(AttemptEvent::SuccessUnproved, SessionReply(), false);
    this->attemptNumber++;
    this->request.need.tried.insert(this->held.link->getUpstream());
    this->trouble.set(StatementTrouble::NoAnswer);
    bool isOver = this->state.getClock().now() >= this->limits.getDeadline();
    this->dropLink();
    if (!this->isStatementSent && isOver)
        return this->conclude(this->isOnHeldLink ? AttemptEvent::LinkLost : AttemptEvent::NotSent, SessionReply(), false);
    if (!this->isStatementSent)
        return this->conclude(this->isOnHeldLink ? AttemptEvent::LinkLost : AttemptEvent::NotSent, SessionReply());
    this->conclude(isOver ? AttemptEvent::TimedOut : AttemptEvent::LinkLost, SessionReply());
}

void StatementRun::answer(const ReplyVerdict& verdict)
{
    this->dropLink();
    SessionReply reply;
    reply.code = verdict.code;
    reply.state = verdict.state;
    reply.message = this->trouble.describe() + this->describeReturn();
    this->finish(std::move(reply));
}

std::string StatementRun::describeReturn() const
{
    std::optional<TimePoint> expected = this->state.getExpectedReturn(this->request.need.route->group);
    if (!expected || !this->needsPrimary())
        return "";
    Duration wait = std::max(Duration(0), std::chrono::duration_cast<Duration>(*expected - this->state.getClock().now()));
    return ", again in " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count()) + " ms";
}

void StatementRun::deliver(SessionReply reply)
{
    bool isOpen = this->request.kind.isInTransaction && reply.state != TransactionState::Idle;
    if (isOpen && !this->request.kind.isCommit) {
        if (this->held.isHeld())
            this->held.pool->park(this->held.link);
        return this->finish(std::move(reply));
    }
    // A commit ends the transaction for the caller, so nothing may stay open behind it.
    if (isOpen)
        this->held.rollBackAndRelease();
    reply.state = TransactionState::Idle;
    HeldLink released = std::exchange(this->held, HeldLink());
    this->finish(std::move(reply));
    if (released.isHeld())
        released.pool->release(released.link);
}

void StatementRun::finish(SessionReply reply)
{
    this->isDone = true;
    this->timer.clear();
    Result result;
    result.numAttempts = this->numSent;
    if (this->target.pool != nullptr)
        result.upstream = this->target.pool->getUpstream().id;
    bool isCommitted = reply.isSuccess() && this->request.kind.mode == AccessMode::Write && (this->request.kind.isCommit || !this->request.kind.isInTransaction);
    if (isCommitted && reply.head)
        result.commit = OwnCommit { *reply.head, this->state.getView().getGeneration(this->request.need.route->group) };
    result.held = this->held;
    result.trouble = reply.isSuccess() ? StatementTrouble::None : this->trouble.get();
    result.reply = std::move(reply);
    Callback done = std::exchange(this->callback, nullptr);
    done(std::move(result));
}

void StatementRun::dropLink()
{
    HeldLink dropped = std::exchange(this->held, HeldLink());
    if (dropped.isHeld())
        dropped.pool->discard(dropped.link);
}

} // namespace lentiljunction
