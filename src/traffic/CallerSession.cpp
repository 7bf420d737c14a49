#include "CallerSession.h"

#include "LocalStatements.h"

#include "lentiljunction/core/Buffers.h"
#include "lentiljunction/core/HandlerGuard.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/ScopedFlag.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Messages that a session handles before the others have their turn.
    constexpr int maximumMessagesPerTurn = 64;
    /// Bytes that wait behind a running statement before no more are read.
    constexpr std::size_t maximumBufferedBytes = 65536;

    /// Copies of a statement that exist while it waits and runs.
    constexpr std::size_t statementCopies = 5;
    constexpr std::size_t maximumReadSize = 4096;
    /// Time for a caller to receive the last reply of its session.
    constexpr std::chrono::seconds unsentLimit { 10 };

    bool isTransactionControl(SessionVerb verb)
    {
        return verb == SessionVerb::Begin || verb == SessionVerb::Rollback;
    }

} // namespace

CallerSession::CallerSession(TrafficState& state, const SessionProtocol& protocol, Listener& listener, std::unique_ptr<TcpConnection> socket)
    : state(state)
    , protocol(protocol)
    , listener(listener)
    , socket(std::move(socket))
    , memory(state.getMemory())
    , key(state)
    , idleTimer(state.getLoop(), state.getClock(), [this] { this->guard([this] { this->onIdleLimit(); }); })
{
}

CallerSession::~CallerSession()
{
    if (this->run != nullptr)
        this->run->cancel();
}

void CallerSession::onKnownStateChanged()
{
    std::shared_ptr<StatementRun> current = this->run;
    if (current != nullptr)
        current->onKnownStateChanged();
}

void CallerSession::closeWhenIdle()
{
    this->mustClose = true;
    if (!this->isBusy())
        this->closeNow();
}

void CallerSession::closeNow()
{
    if (this->hasEnded)
        return;
    this->socket->closeAfterSending(unsentLimit, this->state.holdClosing(this->socket->getBufferedBytes()));
    this->endSession();
}

void CallerSession::refuse(ReplyCode code, const std::string& reason)
{
    if (this->hasEnded)
        return;
    this->socket->send(this->protocol.encodeSessionRefused(code, reason));
    this->closeNow();
}

void CallerSession::guard(const std::function<void()>& handler)
{
    if (HandlerGuard::run("session", handler) || this->hasEnded)
        return;
    this->socket->close();
    this->endSession();
}

void CallerSession::endSession()
{
    if (std::exchange(this->hasEnded, true))
        return;
    std::shared_ptr<StatementRun> current = std::exchange(this->run, nullptr);
    if (current != nullptr)
        current->cancel();
    this->admission.cancel();
    this->held.rollBackAndRelease();
    this->idleTimer.clear();
    this->memory.set(0);
    this->listener.onSessionEnded(*this);
}

void CallerSession::onSocketClosed(const std::string&, bool)
{
    this->endSession();
}

void CallerSession::onSocketBytes(std::string& bytes)
{
    if (this->buffered.empty()) {
        this->firstByteAt = this->state.getClock().bootNow();
        this->firstByteAtSteady = this->state.getClock().now();
    }
    this->buffered += bytes;
    bytes.clear();
    this->processBuffered();
}

void CallerSession::processBuffered()
{
    // Statements run one at a time; pipelined ones wait in the buffer.
    if (this->isProcessing)
        return;
    this->processMessages();
    releaseIdleCapacity(this->buffered);
    if (this->hasEnded)
        return;
    this->reportMemory();
    this->updateReading();
}

void CallerSession::processMessages()
{
    ScopedFlag processing(this->isProcessing);
    int numMessages = 0;
    while (!this->hasEnded && !this->isRunning() && !this->buffered.empty()) {
        if (++numMessages > maximumMessagesPerTurn) {
            this->continueLater();
            break;
        }
        this->arrivedAt = this->firstByteAt;
        this->arrivedAtSteady = this->firstByteAtSteady;
        Failure failure;
        std::optional<CallerMessage> message = this->protocol.takeCallerMessage(this->buffered, this->numSearched, failure);
        if (!message && failure.kind == Failure::Kind::None)
            break;
        // The bytes after this message arrived with it or later; the present time is the latest possible.
        this->firstByteAt = this->state.getClock().bootNow();
        this->firstByteAtSteady = this->state.getClock().now();
        if (!message) {
            logEvent(events::sessionRefused, "reason=\"" + failure.reason + "\"");
            this->socket->send(this->protocol.encodeSessionRefused(ReplyCode::Malformed, failure.reason));
            this->closeNow();
        } else if (const SessionStatement* statement = std::get_if<SessionStatement>(&*message)) {
            this->onStatement(*statement);
        } else if (const SessionStartup* opened = std::get_if<SessionStartup>(&*message)) {
            this->onStartup(*opened);
        } else {
            this->closeNow();
        }
    }
}

void CallerSession::updateReading()
{
    // A caller that does not wait for its responses is slowed down instead of filling the memory. A message that is still
    // incomplete needs more bytes.
    bool isWaiting = this->isRunning() || this->isContinuing;
    std::size_t maximum = this->state.getMemory().mustCloseSessions() ? maximumReadSize : maximumBufferedBytes;
    this->socket->setReading(!isWaiting || this->buffered.size() < maximum);
}

std::size_t CallerSession::updateMemory()
{
    std::size_t statementBytes = this->isRunning() ? this->statementSize * statementCopies : 0;
    this->memory.set(this->buffered.capacity() + this->socket->getBufferedBytes() + this->context.getSize() + statementBytes);
    return this->memory.get();
}

void CallerSession::reportMemory()
{
    this->updateMemory();
    if (this->state.getMemory().mustCloseSessions())
        this->listener.onMemoryExceeded();
}

void CallerSession::closeForMemory()
{
    if (this->hasEnded)
        return;
    if (this->socket->getBufferedBytes() <= maximumIdleCapacity)
        return this->refuse(ReplyCode::Busy, describe(FailureCause::NoMemory));
    // Replies that the caller does not read would stay in memory until the connection ends.
    this->socket->close();
    this->endSession();
}

void CallerSession::continueLater()
{
    if (std::exchange(this->isContinuing, true))
        return;
    std::weak_ptr<bool> alive = this->isAlive;
    this->state.getLoop().post([this, alive] {
        if (alive.expired())
            return;
        this->isContinuing = false;
        this->guard([this] { this->processBuffered(); });
    });
}

void CallerSession::onStartup(const SessionStartup& opened)
{
    if (this->refuseStartup(opened))
        return;
    this->startup = opened;
    this->key.set(opened.database, opened.caller.toString());
    // Only the digest of a key is kept. Without workspaces the field is a name by which queues tell callers apart.
    if (this->state.getRoutes()->workspaces)
        this->startup->caller = CallerId();
    KeyVerdict verdict = this->key.check(false);
    if (mayRun(verdict)) {
        this->socket->send(this->protocol.encodeSessionReady());
        return;
    }
    this->reportKeyRefused(verdict);
    this->socket->send(this->protocol.encodeSessionRefused(decideKeyRefusal(verdict, false, false).code, describe(toFailureCause(verdict))));
    this->closeNow();
}

void CallerSession::reportKeyRefused(KeyVerdict verdict)
{
    this->listener.onKeyRefused(verdict);
    this->key.logRefusal(verdict);
}

bool CallerSession::refuseInvalidKey(const SessionStatement& statement)
{
    bool isInTransaction = this->transactionState != TransactionState::Idle;
    KeyVerdict verdict = this->key.check(isInTransaction);
    // A rollback runs nothing, so it needs no confirmed configuration.
    if (mayRun(verdict) || (verdict == KeyVerdict::Unconfirmed && statement.verb == SessionVerb::Rollback))
        return false;
    this->held.rollBackAndRelease();
    this->idleTimer.clear();
    this->mustReportAbort = false;
    this->reportKeyRefused(verdict);
    ReplyDecision decision = decideKeyRefusal(verdict, isInTransaction, statement.verb == SessionVerb::Commit);
    this->reply(decision.code, decision.state, describe(toFailureCause(verdict)), toFailureCause(verdict));
    if (verdict == KeyVerdict::Unknown)
        this->closeNow();
    return true;
}

bool CallerSession::refuseStartup(const SessionStartup& opened)
{
    std::shared_ptr<const RouteTable> routes = this->state.getRoutes();
    bool isKnown = routes != nullptr && routes->find(opened.database) != nullptr;
    if (!this->startup && isKnown)
        return false;
    ReplyCode code = this->startup ? ReplyCode::Malformed : routes == nullptr ? ReplyCode::Busy
                                                                              : ReplyCode::NoDatabase;
    std::string reason = this->startup ? "the session is already open" : "no route leads to the database";
    logEvent(events::sessionRefused, "database=" + opened.database.toString() + " reason=\"" + reason + "\" routes_version=" + (routes == nullptr ? "none" : std::to_string(routes->version.value())));
    this->socket->send(this->protocol.encodeSessionRefused(code, reason));
    this->closeNow();
    return true;
}

void CallerSession::onStatement(SessionStatement statement)
{
    if (!this->startup) {
        this->socket->send(this->protocol.encodeSessionRefused(ReplyCode::Malformed, "the session is not open"));
        return this->closeNow();
    }
    this->statementId = statement.id;
    this->statementSize = statement.text.size();
    if (this->refuseInvalidKey(statement))
        return;
    // The id of the system's own statements is empty.
    if (statement.verb == SessionVerb::Malformed || statement.id.isEmpty())
        return this->reply(ReplyCode::Malformed, this->transactionState, "the statement is malformed");
    if (isTransactionControl(statement.verb))
        return this->onTransactionControl(statement);
    if (this->transactionState == TransactionState::Failed) {
        if (std::exchange(this->mustReportAbort, false))
            return this->reply(ReplyCode::Aborted, statement.verb == SessionVerb::Commit ? TransactionState::Idle : TransactionState::Failed, "the transaction was idle for too long", FailureCause::IdleTooLong);
        if (statement.verb != SessionVerb::Commit)
            return this->reply(ReplyCode::Malformed, TransactionState::Failed, "the transaction has failed");
        this->held.rollBackAndRelease();
        return this->reply(ReplyCode::Aborted, TransactionState::Idle, "the transaction had failed");
    }
    std::optional<SessionReply> local = answerLocally(this->context, statement, this->transactionState);
    if (local)
        return this->send(*local);
    this->onUpstreamStatement(std::move(statement));
}

void CallerSession::onTransactionControl(const SessionStatement& statement)
{
    if (statement.verb == SessionVerb::Rollback) {
        if (this->transactionState == TransactionState::Idle)
            return this->reply(ReplyCode::Malformed, TransactionState::Idle, "no transaction is open");
        this->held.rollBackAndRelease();
        return this->reply(ReplyCode::None, TransactionState::Idle, "");
    }
    if (this->transactionState != TransactionState::Idle)
        return this->reply(ReplyCode::Malformed, this->transactionState, "a transaction is already open");
    std::shared_ptr<const SessionRoute> route = findSessionRoute(*this->state.getRoutes(), this->startup->database);
    if (route == nullptr)
        return this->reply(ReplyCode::NoDatabase, TransactionState::Idle, "no route leads to the database", FailureCause::NoRoute);
    this->beginOperation(statement, statement.mode, route);
}

void CallerSession::beginOperation(SessionStatement statement, AccessMode mode, const std::shared_ptr<const SessionRoute>& route)
{
    if (!this->state.getMemory().mayStart(statement.text.size() * statementCopies))
        return this->reply(ReplyCode::Busy, TransactionState::Idle, describe(FailureCause::NoMemory), FailureCause::NoMemory);
    this->key.beginOperation();
    this->admission.cancel();
    QuotaClient* quota = this->state.getQuota();
    if (quota == nullptr || this->key.getWorkspace().isEmpty())
        return this->startOperation(std::move(statement), mode, route);
    this->admission.request(*quota, this->key.getWorkspace(), [this, statement = std::move(statement), mode, route](const std::optional<AdmissionRefusal>& refusal) {
        this->guard([&] {
            if (refusal)
                this->reply(ReplyCode::Busy, TransactionState::Idle, refusal->message, refusal->cause);
            else
                this->startOperation(statement, mode, route);
            this->processBuffered();
        });
    });
}

void CallerSession::startOperation(SessionStatement statement, AccessMode mode, const std::shared_ptr<const SessionRoute>& route)
{
    if (statement.verb == SessionVerb::Begin)
        this->beginTransaction(statement, route);
    else
        this->startRun(std::move(statement), mode, route);
}

void CallerSession::beginTransaction(const SessionStatement& begin, const std::shared_ptr<const SessionRoute>& route)
{
    this->transactionMode = begin.mode;
    this->transactionBegan = this->arrivedAt;
    this->transactionRoute = route;
    this->hasTransactionWritten = false;
    this->hasTransactionRun = false;
    this->mustReportAbort = false;
    this->reply(ReplyCode::None, TransactionState::Open, "");
    this->beginEarly(begin);
}

void CallerSession::beginEarly(const SessionStatement& begin)
{
    // The transaction begins on the upstream while the reply to BEGIN travels to the caller.
    if (this->hasEnded)
        return;
    StatementRequest request = this->makeRequest(begin, AccessMode::Read, this->transactionRoute);
    this->run = std::make_shared<StatementRun>(this->state, this->context, request, [this](StatementRun::Result result) {
        this->run = nullptr;
        // Without a held connection the first statement acquires one.
        this->held = result.held;
        this->guard([this] {
            this->restartIdleTimer();
            this->processBuffered();
        });
    });
    std::shared_ptr<StatementRun> started = this->run;
    started->start();
}

void CallerSession::onUpstreamStatement(SessionStatement statement)
{
    bool isInTransaction = this->transactionState == TransactionState::Open;
    if (statement.verb == SessionVerb::Commit && !isInTransaction)
        return this->reply(ReplyCode::Malformed, TransactionState::Idle, "no transaction is open");
    std::optional<AccessMode> mode = findMode(this->context, statement, this->hasTransactionWritten);
    if (!mode)
        return this->reply(ReplyCode::NoSuchStatement, isInTransaction ? TransactionState::Failed : TransactionState::Idle, statement.name);
    if (isInTransaction && this->transactionMode == AccessMode::Read && *mode == AccessMode::Write)
        return this->reply(ReplyCode::NotPrimary, TransactionState::Failed, "the transaction is read-only");

    std::shared_ptr<const SessionRoute> route = isInTransaction ? this->transactionRoute : findSessionRoute(*this->state.getRoutes(), this->startup->database);
    if (route == nullptr)
        return this->reply(ReplyCode::NoDatabase, this->transactionState, "no route leads to the database", FailureCause::NoRoute);
    if (isInTransaction && *mode == AccessMode::Read && statement.verb != SessionVerb::Commit && !this->state.getMemory().mayStart(0)) {
        this->held.rollBackAndRelease();
        return this->reply(ReplyCode::Aborted, TransactionState::Failed, describe(FailureCause::NoMemory), FailureCause::NoMemory);
    }
    if (isInTransaction)
        this->startRun(std::move(statement), *mode, route);
    else
        this->beginOperation(std::move(statement), *mode, route);
}

StatementRequest CallerSession::makeRequest(SessionStatement statement, AccessMode mode, const std::shared_ptr<const SessionRoute>& route) const
{
    bool isInTransaction = this->transactionState == TransactionState::Open;
    StatementRequest request;
    request.traits = { mode, isInTransaction, statement.verb == SessionVerb::Commit, !this->held.isHeld() };
    request.statement = std::move(statement);
    request.transactionMode = this->transactionMode;
    request.route = route;
    request.requirement = { &route->route, isInTransaction ? this->transactionBegan : this->arrivedAt, this->ownCommit, {} };
    request.workspace = this->key.getWorkspace();
    request.key = this->key.getDigest();
    // Queues share among workspaces where there are some. A key must not get there: others than this session see it.
    request.caller = route->hasWorkspaces ? CallerId(request.workspace.toString()) : this->startup->caller;
    request.arrivedAt = this->arrivedAtSteady;
    return request;
}

void CallerSession::leaveDrainingUpstream()
{
    // The transaction began early, and nothing ran in it.
    bool isUnused = this->held.isHeld() && !this->hasTransactionRun;
    const UpstreamEntry* entry = isUnused ? this->state.getUpstreams()->find(this->held.connection->getUpstream()) : nullptr;
    if (isUnused && (entry == nullptr || entry->isLeaving))
        this->held.rollBackAndRelease();
}

void CallerSession::startRun(SessionStatement statement, AccessMode mode, const std::shared_ptr<const SessionRoute>& route)
{
    if (this->transactionState == TransactionState::Open)
        this->leaveDrainingUpstream();
    StatementRequest request = this->makeRequest(std::move(statement), mode, route);
    if (request.traits.isInTransaction && mode == AccessMode::Write)
        this->hasTransactionWritten = true;
    this->hasTransactionRun = true;

    this->idleTimer.clear();
    this->run = std::make_shared<StatementRun>(this->state, this->context, request, [this, request](StatementRun::Result result) {
        this->run = nullptr;
        this->held = result.held;
        this->guard([&] { this->onRunFinished(request, result); });
    });
    std::shared_ptr<StatementRun> started = this->run;
    if (this->held.isHeld())
        started->startOnHeldConnection(std::exchange(this->held, HeldConnection()));
    else
        started->start();
}

void CallerSession::onRunFinished(const StatementRequest& request, const StatementRun::Result& result)
{
    if (!request.traits.isInTransaction && result.numAttempts == 0)
        this->admission.giveBack();
    if (result.commit)
        this->ownCommit = result.commit;
    this->listener.onStatementAnswered(request.requirement.route, request, result);
    if (result.cause == FailureCause::KeyUnknown || result.cause == FailureCause::KeyUnconfirmed)
        this->reportKeyRefused(result.cause == FailureCause::KeyUnknown ? KeyVerdict::Unknown : KeyVerdict::Unconfirmed);
    this->send(result.reply);
    if (result.cause == FailureCause::KeyUnknown)
        return this->closeNow();
    this->restartIdleTimer();
    this->processBuffered();
}

void CallerSession::restartIdleTimer()
{
    if (this->held.isHeld() && this->transactionRoute != nullptr && this->transactionRoute->transactionIdleLimit.count() > 0)
        this->idleTimer.setTime(this->state.getClock().now() + this->transactionRoute->transactionIdleLimit);
}

void CallerSession::onIdleLimit()
{
    if (!this->held.isHeld() || this->run != nullptr)
        return;
    logEvent(events::statementRefused, "id=" + this->statementId.toString() + " database=" + this->startup->database.toString() + " cause=" + toString(FailureCause::IdleTooLong) + " upstream=" + this->held.connection->getUpstream().toString() + " reason=\"the transaction was idle for too long\" code=aborted");
    this->held.rollBackAndRelease();
    this->transactionState = TransactionState::Failed;
    this->transactionRoute.reset();
    this->mustReportAbort = true;
}

void CallerSession::reply(ReplyCode code, TransactionState newState, const std::string& message, FailureCause cause)
{
    SessionReply answer;
    answer.code = code;
    answer.state = newState;
    answer.message = message;
    if (code != ReplyCode::None) {
        this->listener.onRefusedLocally(cause);
        logEvent(events::statementRefused, "id=" + this->statementId.toString() + " database=" + this->startup->database.toString() + " code=" + toString(code) + " cause=" + toString(cause) + " reason=\"" + message + "\" routes_version=" + std::to_string(this->state.getRoutes()->version.value()));
    }
    this->send(answer);
}

void CallerSession::send(const SessionReply& answer)
{
    this->transactionState = answer.state;
    if (answer.state != TransactionState::Open && !this->held.isHeld())
        this->transactionRoute.reset();
    this->socket->send(this->protocol.encodeReply(answer));
    if (!this->hasEnded)
        this->reportMemory();
    if (this->mustClose && !this->isBusy())
        this->closeNow();
}

} // namespace lentiljunction
