#include "TrafficPlane.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// How often the log head of each primary is requested. The shortest staleness that routes allow is several
    /// times as long, so replicas can always serve such reads.
    constexpr std::chrono::milliseconds proofInterval { 400 };
    /// How old a proof may be when the instance relies on the proofs of another instance, which arrive twice within
    /// this time.
    constexpr std::chrono::milliseconds relayedProofTimeout { 1000 };
    /// The same for an instance on whose proofs others rely. They receive a proof at most two intervals later.
    constexpr std::chrono::milliseconds relayingProofTimeout { 200 };
    /// A primary that does not answer a command within this time is tested with a new connection.
    constexpr std::chrono::milliseconds primaryAnswerTimeout { 300 };

    std::int64_t toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    std::vector<QuotaLimit> listLimits(const RouteTable& routes)
    {
        std::vector<QuotaLimit> limits;
        if (!routes.workspaces)
            return limits;
        for (const std::pair<const WorkspaceId, WorkspaceConfig>& workspace : routes.workspaces->getAll()) {
            if (workspace.second.hasLimit())
                limits.push_back({ workspace.first, workspace.second.ratePerSecond, workspace.second.burst });
        }
        return limits;
    }

    const LogEvent& chooseEvent(ReplyCode code)
    {
        if (code == ReplyCode::None)
            return events::statementServed;
        bool isDefinite = provesNotRun(code) || code == ReplyCode::Aborted;
        return isDefinite ? events::statementRefused : events::statementFailed;
    }

} // namespace

TrafficPlane::TrafficPlane(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, GatewayMetrics& metrics, const InstanceId& self, const ZoneId& zone, Listener& listener)
    : loop(loop)
    , clock(clock)
    , protocol(protocol)
    , metrics(metrics)
    , listener(listener)
    , state({ loop, clock, protocol, self, *this }, zone)
    , lending(loop, clock, protocol, self, this->state, this->state.getMemory())
    , verifier(protocol, this->state)
    , memoryRelief(loop, this->state.getMemory(), [this] { return this->listSessions(); })
    , callerServer(loop)
    , checkTimer(loop, clock, [this] { this->checkPrimaries(); })
    , pauseTimer(loop, clock, [this] { this->tick(); })
{
    this->state.setVerifier(this->verifier);
    this->state.setNewerTermHandler([this](const GroupId& group, const UpstreamId& upstream, Term term, const NewerTermDetector::Action& action) { this->onNewerTerm(group, upstream, term, action); });
}

TrafficPlane::~TrafficPlane() = default;

void TrafficPlane::ejectFailingUpstreams()
{
    this->state.getHealth().enable();
    this->tick();
}

void TrafficPlane::discoverCapacity()
{
    this->state.discoverCapacity();
    this->tick();
}

void TrafficPlane::tick()
{
    this->state.getHealth().onTick();
    this->pauseTimer.setTime(this->clock.now() + UpstreamHealth::tickInterval);
}

void TrafficPlane::start()
{
    this->checkTimer.setTime(this->clock.now() + proofInterval);
}

bool TrafficPlane::listen(const Endpoint& endpoint, Failure& failure)
{
    return this->callerServer.listen(
        endpoint, [this](std::unique_ptr<TcpConnection> socket) -> TcpConnection::Listener& { return this->accept(std::move(socket)); }, failure);
}

TcpConnection::Listener& TrafficPlane::accept(std::unique_ptr<TcpConnection> socket)
{
    CallerSession::Listener& self = *this;
    std::unique_ptr<CallerSession> session = std::make_unique<CallerSession>(this->state, this->protocol, self, std::move(socket));
    CallerSession* raw = session.get();
    bool isRefused = !this->descriptors.mayOpenSession(this->sessions.size() + this->state.countClosing());
    this->sessions.emplace(raw, std::move(session));
    if (isRefused)
        this->refuseLater(raw);
    if (this->isDraining)
        raw->closeAfterNextStatement();
    return raw->getSocketListener();
}

void TrafficPlane::refuseLater(CallerSession* session)
{
    logEvent(events::sessionsExhausted, "sessions=" + std::to_string(this->sessions.size()) + " limit=" + std::to_string(this->descriptors.getMaximumSessions()));
    // The socket is open for sending once the handler of the accepted connection has returned.
    this->loop.post([this, session] {
        if (this->sessions.count(session) > 0)
            session->refuse(ReplyCode::Busy, "the instance has no free connection");
    });
}

void TrafficPlane::setRoutes(std::shared_ptr<const RouteTable> routes, std::shared_ptr<const RouteConfirmation> confirmation)
{
    if (this->quota != nullptr)
        this->quota->setLimits(listLimits(*routes));
    this->state.setRoutes(std::move(routes), std::move(confirmation));
    this->notifySessions();
}

void TrafficPlane::setUpstreams(std::shared_ptr<const UpstreamList> upstreams)
{
    this->state.setUpstreams(std::move(upstreams));
    this->notifySessions();
}

void TrafficPlane::setMembers(const std::vector<FleetMember>& members, std::size_t numInstances, bool newRelaysProofs)
{
    this->relaysProofs = newRelaysProofs;
    this->state.setMembers(members, numInstances);
    if (this->quota != nullptr)
        this->quota->setMembers(members, numInstances);
}

std::optional<RouteExplanation> TrafficPlane::explainRoute(const RouteQuestion& question, Failure& failure) const
{
    return RouteExplainer(this->state, [this](const UpstreamEntry& upstream) { return this->state.peekSource(upstream); }).explain(question, failure);
}

bool TrafficPlane::listenForBorrowers(const Endpoint& endpoint, Failure& failure)
{
    return this->lending.listen(endpoint, failure);
}

void TrafficPlane::enforceQuota(const QuotaTolerance& tolerance, const InstanceId& self, const ZoneId& zone)
{
    this->quota = std::make_unique<QuotaService>(this->loop, this->clock, tolerance, self, zone);
    this->state.setQuota(this->quota->getClient());
    this->quota->start();
}

void TrafficPlane::stopDecidingQuota()
{
    if (this->quota != nullptr)
        this->quota->stopDeciding();
}

void TrafficPlane::updateMetrics() const
{
    this->state.updateMetrics(this->metrics);
    this->metrics.setVerifications(this->verifier.getNumFinished());
    this->metrics.setLoans(this->lending.countLent(), this->lending.countBorrowed());
    if (this->quota == nullptr)
        return;
    QuotaCounts counts = this->quota->getClient().getCounts();
    GatewayMetrics::Quota quotaMetrics { counts.numAdmitted, counts.numRefused, counts.numUndecided, counts.numWaiting, counts.numDelegated, this->quota->countDelegations(), {} };
    for (const std::pair<const WorkspaceId, std::uint64_t>& workspace : counts.numRefusedOf)
        quotaMetrics.numRefusedOf[workspace.first.toString()] = workspace.second;
    this->metrics.setQuota(quotaMetrics);
}

void TrafficPlane::setPrimaryView(const PrimaryView& view)
{
    this->state.setPrimaryView(view);
    this->notifySessions();
    this->checkPrimaries();
}

std::vector<CallerSession*> TrafficPlane::listSessions() const
{
    std::vector<CallerSession*> all;
    for (const std::pair<CallerSession* const, std::unique_ptr<CallerSession>>& session : this->sessions)
        all.push_back(session.first);
    return all;
}

void TrafficPlane::addFreshnessProofs(const std::vector<FreshnessProofs::Newest>& proofs)
{
    this->state.addFreshnessProofs(proofs);
    this->notifySessions();
}

void TrafficPlane::notifySessions()
{
    for (CallerSession* session : this->listSessions()) {
        if (this->sessions.count(session) > 0)
            session->onKnownStateChanged();
    }
}

void TrafficPlane::drain()
{
    this->isDraining = true;
    for (CallerSession* session : this->listSessions())
        session->closeWhenIdle();
}

void TrafficPlane::closeIdleTransactions()
{
    for (CallerSession* session : this->listSessions()) {
        if (!session->isRunning())
            session->closeNow();
    }
}

void TrafficPlane::stop()
{
    this->callerServer.close();
    this->checkTimer.clear();
    this->pauseTimer.clear();
    for (CallerSession* session : this->listSessions())
        session->closeNow();
}

std::size_t TrafficPlane::countBusy() const
{
    return this->lending.countLent() + static_cast<std::size_t>(std::count_if(this->sessions.begin(), this->sessions.end(), [](const std::pair<CallerSession* const, std::unique_ptr<CallerSession>>& session) {
        return session.first->isBusy();
    }));
}

void TrafficPlane::onSessionEnded(CallerSession& session)
{
    std::map<CallerSession*, std::unique_ptr<CallerSession>>::iterator found = this->sessions.find(&session);
    if (found == this->sessions.end())
        return;
    // The session is on the call stack, so it is destroyed later.
    std::shared_ptr<CallerSession> retired(std::move(found->second));
    this->sessions.erase(found);
    this->loop.post([retired] {});
}

void TrafficPlane::onUpstreamUnreachable(const UpstreamEntry& upstream, UpstreamConnection::LossCause cause)
{
    this->state.onResult({ upstream.id, UpstreamResult::NotOpened, this->clock.now() });
    // Commits that wait for replicas occupy its slots. If its process hangs, its entry expires.
    if (cause == UpstreamConnection::LossCause::Unanswered && this->state.mayCommitsWait(upstream.group))
        return;
    std::optional<PrimaryTenure> primary = this->state.getView().findPrimaryTenure(upstream.group, *this->state.getUpstreams());
    if (primary && primary->upstream == upstream.id)
        this->listener.onPrimaryUnreachable(upstream.group, upstream.id);
}

void TrafficPlane::checkPrimaries()
{
    this->checkTimer.setTime(this->clock.now() + proofInterval);
    this->state.failUnresponsiveConnections();
    this->lending.checkIdle();
    if (this->state.getRoutes() == nullptr)
        return;
    for (const std::pair<const GroupId, GroupConfig>& group : this->state.getRoutes()->groups)
        this->checkPrimary(group.first);
}

void TrafficPlane::checkPrimary(const GroupId& group)
{
    if (!this->state.hasValidLease(group))
        this->checkPrimaryWithoutLease(group);
    std::optional<Target> primaryTarget = this->state.findPrimary(group);
    if (!primaryTarget || primaryTarget->source == nullptr)
        return;
    std::shared_ptr<UpstreamPool> pool = this->state.findPool(primaryTarget->primary->upstream);
    bool mustBorrow = !pool->mayKeepIdle() && this->state.mustBorrow(primaryTarget->primary->upstream);
    // When connections are too scarce to keep one for this check, another instance sends its proofs.
    Duration maximumProofAge = pool->mayKeepIdle() ? proofInterval : relayedProofTimeout;
    if (mustBorrow && this->relaysProofs)
        maximumProofAge = relayingProofTimeout;
    std::optional<BootTime> newest = this->state.findNewestProof(group);
    if (newest && this->clock.bootNow() - *newest < maximumProofAge)
        return;
    if (mustBorrow)
        return this->checkBorrowedPrimary(group, *primaryTarget);

    pool->closeUnresponsiveIdle(primaryAnswerTimeout);
    UpstreamConnection* connection = pool->findIdle();
    if (connection != nullptr)
        return this->requestHead(*connection, group, *primaryTarget->primary, [](bool) {});
    pool->probeIfDue();
    if (!pool->isUnreachable() && (pool->getNumConnections() == 0 || pool->isOverdue(primaryAnswerTimeout)))
        pool->openConnection();
}

void TrafficPlane::checkBorrowedPrimary(const GroupId& group, const Target& primaryTarget)
{
    if (!this->groupsChecking.insert(group).second)
        return;
    ConnectionSource::Request request { Rank::Urgent, CallerId(), this->clock.now() + primaryAnswerTimeout, nullptr, WorkspaceId(), true };
    primaryTarget.source->acquire(request, [this, group, target = primaryTarget](StatementConnection* connection, ConnectionSource::Denial) {
        this->groupsChecking.erase(group);
        if (connection == nullptr)
            return;
        this->requestHead(*connection, group, *target.primary, [source = target.source, connection](bool hasReply) {
            if (hasReply)
                source->release(connection);
            else
                source->discard(connection);
        });
    });
}

void TrafficPlane::checkPrimaryWithoutLease(const GroupId& group)
{
    // Without a lease the primary is usable only after a verification, so the first one starts before a
    // statement needs it.
    std::optional<PrimaryTenure> primary = this->state.getView().findPrimaryTenure(group, *this->state.getUpstreams());
    if (!primary)
        return;
    bool wasUsable = this->state.findPrimary(group).has_value();
    this->verifier.verify(group, *primary, [this, wasUsable](bool isVerified) {
        if (isVerified && !wasUsable)
            this->notifySessions();
    });
}

void TrafficPlane::onNewerTerm(const GroupId& group, const UpstreamId& upstream, Term term, const NewerTermDetector::Action& action)
{
    if (action.mustReport)
        this->listener.onNewerTerm(group, upstream, term);
    // The reply that showed the term is still being handled.
    if (action.mustVerify)
        this->loop.post([this, group] { this->checkPrimaryWithoutLease(group); });
}

void TrafficPlane::requestHead(StatementConnection& connection, const GroupId& group, const PrimaryTenure& primary, std::function<void(bool hasReply)> callback)
{
    // Reset is the only command that takes no slot and that every connection accepts. Its reply carries the log head.
    UpstreamCommand reset;
    connection.context = SessionContext::ConnectionContext();
    BootTime requestedAt = this->clock.bootNow();
    bool isFirst = !this->state.findNewestProof(group).has_value();
    connection.sendLast(reset, [this, group, primary, requestedAt, isFirst, callback = std::move(callback)](const std::optional<SessionReply>& reply) {
        callback(reply.has_value());
        if (reply && reply->head)
            this->onHeadReported(group, primary, *reply, requestedAt, isFirst);
    });
}

void TrafficPlane::onHeadReported(const GroupId& group, const PrimaryTenure& primary, const SessionReply& reply, BootTime requestedAt, bool isFirst)
{
    this->state.onTerm(primary.upstream, reply.head->term);
    if (!this->state.hasValidLease(group)) {
        this->verifier.verify(group, primary, [this, group, primary, requestedAt, head = *reply.head](bool isVerified) {
            if (isVerified)
                this->state.addVerifiedHead(group, primary, head, requestedAt);
        });
        return;
    }
    this->state.onHead(primary.upstream, *reply.head, requestedAt);
    if (isFirst)
        this->notifySessions();
}

void TrafficPlane::onStatementAnswered(const Route* route, const StatementRequest& request, const StatementRun::Result& result)
{
    this->countAnswer(*route, request, result);
    const PrimaryView& view = this->state.getView();
    Duration remainingLease = std::chrono::duration_cast<Duration>(view.leaseEnd - this->clock.bootNow());
    std::string detail = "id=" + request.statement.id.toString() + " database=" + route->database.toString() + " group=" + route->group.toString()
        + " kind=" + toString(route->consistency) + " rank=" + lentiljunction::toString(route->rank) + " upstream=" + result.upstream.toString()
        + " code=" + lentiljunction::toString(result.reply.code) + " in_transaction=" + std::to_string(request.traits.isInTransaction)
        + " attempts=" + std::to_string(result.numAttempts)
        + " took_ms=" + std::to_string(toMilliseconds(std::chrono::duration_cast<Duration>(this->clock.now() - request.arrivedAt)))
        + " routes_version=" + std::to_string(request.route->version.value()) + " lead_revision=" + std::to_string(view.latest.revision.value())
        + " permit_ms=" + std::to_string(toMilliseconds(remainingLease))
        + " routes_fresh_ms=" + this->describeRoutesFreshness();
    detail += result.reply.isSuccess() ? describe(result.basis) + " acknowledged_write=" + std::to_string(result.isAcknowledgedWrite) : std::string(" cause=") + lentiljunction::toString(result.cause) + " reason=\"" + result.reply.message + "\"";
    // Acknowledged writes are what an incident is traced by, while other successes are frequent and alike.
    bool isCommon = result.reply.isSuccess() && !result.isAcknowledgedWrite;
    logEvent(chooseEvent(result.reply.code), detail, isCommon ? LinePriority::Low : LinePriority::Normal);
}

std::string TrafficPlane::describeRoutesFreshness() const
{
    BootTime currentUntil = this->state.getKeyFreshness().currentUntil;
    return currentUntil == BootTime::min() ? "none" : std::to_string(toMilliseconds(std::chrono::duration_cast<Duration>(currentUntil - this->clock.bootNow())));
}

void TrafficPlane::countAnswer(const Route& route, const StatementRequest& request, const StatementRun::Result& result)
{
    GatewayMetrics::Statement counted;
    counted.kind = toString(route.consistency);
    counted.rank = route.rank;
    counted.code = lentiljunction::toString(result.reply.code);
    counted.upstream = result.upstream.toString();
    counted.cause = lentiljunction::toString(result.cause);
    counted.isSuccess = result.reply.isSuccess();
    counted.basis = result.isAcknowledgedWrite ? lentiljunction::toString(result.basis.kind) : "";
    counted.numRetries = std::max(0, result.numAttempts - 1);
    counted.total = std::chrono::duration_cast<Duration>(this->clock.now() - request.arrivedAt);
    this->metrics.onStatement(counted);
}

} // namespace lentiljunction
