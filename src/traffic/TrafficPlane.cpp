#include "TrafficPlane.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// The head of each primary's log is known at least this fresh. The shortest age that routes
    /// allow is several times as long, so replicas can serve such reads all the time.
    constexpr std::chrono::milliseconds proofInterval { 400 };
    /// Proofs from another instance come twice within this time.
    constexpr std::chrono::milliseconds relayedProofPatience { 1000 };
    /// A primary that leaves a question unanswered for so long is tried with a fresh connection.
    constexpr std::chrono::milliseconds overdueLimit { 300 };

    const char* toString(Consistency consistency)
    {
        switch (consistency) {
        case Consistency::Primary:
            return "primary";
        case Consistency::ReadYourWrites:
            return "read_your_writes";
        case Consistency::BoundedStaleness:
            return "bounded_staleness";
        }
        return "unknown";
    }

    std::int64_t toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    const LogEvent& chooseEvent(ReplyCode code)
    {
        if (code == ReplyCode::None)
            return events::statementServed;
        bool isPromise = provesNotRun(code) || code == ReplyCode::Aborted;
        return isPromise ? events::statementRefused : events::statementFailed;
    }

} // namespace

TrafficPlane::TrafficPlane(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, GatewayMetrics& metrics, const InstanceId& self, const ZoneId& zone, Listener& listener)
    : loop(loop)
    , clock(clock)
    , protocol(protocol)
    , metrics(metrics)
    , listener(listener)
    , state({ loop, clock, protocol, self, *this }, zone)
    , evidence(protocol, this->state)
    , port(loop)
    , checkTimer(loop, clock, [this] { this->checkPrimaries(); })
{
    this->state.setEvidence(this->evidence);
}

TrafficPlane::~TrafficPlane() = default;

bool TrafficPlane::listen(const Endpoint& endpoint, Failure& failure)
{
    this->checkTimer.setTime(this->clock.now() + proofInterval);
    return this->port.listen(
        endpoint, [this](std::unique_ptr<TcpConnection> socket) -> TcpConnection::Listener& { return this->accept(std::move(socket)); }, failure);
}

TcpConnection::Listener& TrafficPlane::accept(std::unique_ptr<TcpConnection> socket)
{
    SessionFlow::Listener& self = *this;
    std::unique_ptr<SessionFlow> session = std::make_unique<SessionFlow>(this->state, this->protocol, self, std::move(socket));
    SessionFlow* raw = session.get();
    this->sessions.emplace(raw, std::move(session));
    if (this->isDraining)
        raw->closeWhenServed();
    return raw->getSocketListener();
}

void TrafficPlane::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    this->state.setRoutes(std::move(routes));
    this->tellBeliefs();
}

void TrafficPlane::setUpstreams(std::shared_ptr<const UpstreamList> upstreams)
{
    this->state.setUpstreams(std::move(upstreams));
    this->tellBeliefs();
}

void TrafficPlane::setNumInstances(std::size_t number)
{
    this->state.setNumInstances(number);
}

void TrafficPlane::setLead(const LeadView& view)
{
    this->state.setLead(view);
    this->tellBeliefs();
    this->checkPrimaries();
}

std::vector<SessionFlow*> TrafficPlane::listSessions() const
{
    std::vector<SessionFlow*> all;
    for (const std::pair<SessionFlow* const, std::unique_ptr<SessionFlow>>& session : this->sessions)
        all.push_back(session.first);
    return all;
}

void TrafficPlane::takeProofs(const std::vector<PositionProofs::Newest>& proofs)
{
    this->state.takeProofs(proofs);
    this->tellBeliefs();
}

void TrafficPlane::tellBeliefs()
{
    for (SessionFlow* session : this->listSessions()) {
        if (this->sessions.count(session) > 0)
            session->onBeliefsChanged();
    }
}

void TrafficPlane::drain()
{
    this->isDraining = true;
    for (SessionFlow* session : this->listSessions())
        session->closeWhenIdle();
}

void TrafficPlane::closeRestingTransactions()
{
    for (SessionFlow* session : this->listSessions()) {
        if (!session->isRunning())
            session->closeNow();
    }
}

void TrafficPlane::stop()
{
    this->port.close();
    this->checkTimer.clear();
    for (SessionFlow* session : this->listSessions())
        session->closeNow();
}

std::size_t TrafficPlane::countBusySessions() const
{
    return static_cast<std::size_t>(std::count_if(this->sessions.begin(), this->sessions.end(), [](const std::pair<SessionFlow* const, std::unique_ptr<SessionFlow>>& session) {
        return session.first->isBusy();
    }));
}

void TrafficPlane::onSessionOver(SessionFlow& session)
{
    std::map<SessionFlow*, std::unique_ptr<SessionFlow>>::iterator found = this->sessions.find(&session);
    if (found == this->sessions.end())
        return;
    // The session is on the stack, so it is destroyed later.
    std::shared_ptr<SessionFlow> buried(std::move(found->second));
    this->sessions.erase(found);
    this->loop.post([buried] {});
}

void TrafficPlane::onUpstreamUnreachable(const UpstreamEntry& upstream, UpstreamLink::Trouble)
{
    std::optional<Leader> leader = this->state.getView().findLeader(upstream.group, *this->state.getUpstreams());
    if (leader && leader->upstream == upstream.id)
        this->listener.onPrimaryUnreachable(upstream.group, upstream.id);
}

void TrafficPlane::checkPrimaries()
{
    this->checkTimer.setTime(this->clock.now() + proofInterval);
    this->state.dropSilentLinks();
    if (this->state.getRoutes() == nullptr)
        return;
    for (const std::pair<const GroupId, GroupConfig>& group : this->state.getRoutes()->groups)
        this->checkPrimary(group.first);
}

void TrafficPlane::checkPrimary(const GroupId& group)
{
    if (!this->state.isPermitted())
        this->checkPrimaryWithoutPermit(group);
    std::optional<Target> primary = this->state.findPrimary(group);
    if (!primary || primary->pool == nullptr)
        return;
    std::optional<BootTime> newest = this->state.findNewestProof(group);
    // Where connections are too scarce to keep one for this, another instance hands its proofs on.
    Duration patience = primary->pool->mayKeepIdle() ? proofInterval : relayedProofPatience;
    if (newest && this->clock.bootNow() - *newest < patience)
        return;

    std::shared_ptr<UpstreamPool> pool = primary->pool;
    pool->dropSilentIdle(overdueLimit);
    UpstreamLink* link = pool->findIdle();
    if (link != nullptr)
        return this->askHead(*link, group, *primary->leader);
    pool->probeIfDue();
    if (!pool->isAvoided() && (pool->getNumConnections() == 0 || pool->isOverdue(overdueLimit)))
        pool->openOne();
}

void TrafficPlane::checkPrimaryWithoutPermit(const GroupId& group)
{
    // The primary is used only once the upstreams have shown that it leads, so the first proof is
    // sought before anybody needs it.
    std::optional<Leader> leader = this->state.getView().findLeader(group, *this->state.getUpstreams());
    if (!leader)
        return;
    bool wasUsable = this->state.findPrimary(group).has_value();
    this->evidence.prove(group, *leader, [this, wasUsable](bool isProved) {
        if (isProved && !wasUsable)
            this->tellBeliefs();
    });
}

void TrafficPlane::askHead(UpstreamLink& link, const GroupId& group, const Leader& leader)
{
    // Of all that an upstream answers without a slot, only a reset works on every connection.
    UpstreamCommand reset;
    link.context = SessionContext::LinkContext();
    BootTime askedAt = this->clock.bootNow();
    bool isFirst = !this->state.findNewestProof(group).has_value();
    link.send(reset, [this, group, leader, askedAt, isFirst](const std::optional<SessionReply>& reply) {
        if (!reply || !reply->head)
            return;
        if (!this->state.isPermitted()) {
            this->evidence.prove(group, leader, [this, group, leader, askedAt, head = *reply->head](bool isProved) {
                if (isProved)
                    this->state.onProvedHead(group, leader, head, askedAt);
            });
            return;
        }
        this->state.onHead(leader.upstream, *reply->head, askedAt);
        if (isFirst)
            this->tellBeliefs();
    });
}

void TrafficPlane::onStatementAnswered(const Route* route, const StatementRequest& request, const StatementRun::Result& result)
{
    this->countAnswer(*route, request, result);
    const LeadView& view = this->state.getView();
    Duration permit = std::chrono::duration_cast<Duration>(view.permitEnd - this->clock.bootNow());
    std::string detail = "id=" + request.statement.id.toString() + " database=" + route->database.toString() + " group=" + route->group.toString()
        + " kind=" + toString(route->consistency) + " rank=" + lentiljunction::toString(route->rank) + " upstream=" + result.upstream.toString()
        + " code=" + lentiljunction::toString(result.reply.code) + " in_transaction=" + std::to_string(request.kind.isInTransaction)
        + " attempts=" + std::to_string(result.numAttempts)
        + " took_ms=" + std::to_string(toMilliseconds(std::chrono::duration_cast<Duration>(this->clock.now() - request.arrivedAt)))
        + " routes_version=" + std::to_string(request.routes->version.value()) + " lead_revision=" + std::to_string(view.lead.revision.value())
        + " permit_ms=" + std::to_string(toMilliseconds(permit));
    if (!result.reply.isSuccess())
        detail += std::string(" cause=") + lentiljunction::toString(result.trouble) + " reason=\"" + result.reply.message + "\"";
    logEvent(chooseEvent(result.reply.code), detail);
}

void TrafficPlane::countAnswer(const Route& route, const StatementRequest& request, const StatementRun::Result& result)
{
    GatewayMetrics::Statement counted;
    counted.kind = toString(route.consistency);
    counted.rank = route.rank;
    counted.code = lentiljunction::toString(result.reply.code);
    counted.upstream = result.upstream.toString();
    counted.cause = lentiljunction::toString(result.trouble);
    counted.isSuccess = result.reply.isSuccess();
    counted.numRetries = std::max(0, result.numAttempts - 1);
    counted.total = std::chrono::duration_cast<Duration>(this->clock.now() - request.arrivedAt);
    this->metrics.onStatement(counted);
}

} // namespace lentiljunction
