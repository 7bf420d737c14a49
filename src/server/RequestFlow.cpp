#include "RequestFlow.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// How long after the deadline a response of the gate is still accepted.
    constexpr Duration answerGracePeriod = std::chrono::milliseconds(50);
    /// Keys whose issue time is further in the future by this instance's clock are refused.
    constexpr std::chrono::milliseconds maximumClockSkew = std::chrono::minutes(5);
    constexpr int initialRetryPercent = 20;

    Repeatability getRepeatability(const Request& request)
    {
        if (request.isRead())
            return Repeatability::Read;
        return request.key ? Repeatability::Keyed : Repeatability::Once;
    }

} // namespace

RequestFlow::RequestFlow(Scheduler& loop, const Clock& clock, Metrics& metrics, GateChannel& channel, const ZoneId& zone, std::uint64_t seed)
    : loop(loop)
    , clock(clock)
    , metrics(metrics)
    , channel(channel)
    , router(zone, seed)
    , budget(initialRetryPercent)
    , shedder(tickInterval)
    , nextHop((seed << 24) + 1)
{
}

void RequestFlow::setBundle(std::shared_ptr<const Bundle> newBundle)
{
    this->bundle = std::move(newBundle);
    this->budget.setPercent(this->bundle->limits.retryPercent);
}

void RequestFlow::run(Request request, ResponseHandler handler)
{
    TimePoint now = this->clock.now();
    AttemptPolicy policy(getRepeatability(request), now + request.deadline);
    std::unique_ptr<Flow> flow = std::make_unique<Flow>(std::move(request), std::move(handler), policy);
    flow->arrivedAt = now;
    flow->deadline = now + flow->request.deadline;
    std::optional<Outcome> refusal = this->check(flow->request);

    FlowId id = this->nextFlow++;
    this->flows[id] = std::move(flow);
    this->budget.onRequest();
    if (refusal)
        this->respond(id, std::move(*refusal), std::nullopt, TransactionId());
    else
        this->attempt(id);
}

std::optional<Outcome> RequestFlow::check(const Request& request) const
{
    if (this->isStopped)
        return Outcome::notRun(NotRunReason::Draining, "this instance is shutting down; retry at another instance");
    if (this->bundle == nullptr || this->gates == nullptr)
        return Outcome::notRun(NotRunReason::NotReady, "this instance has no bundle yet");

    if (this->shedder.mustRefuse(request.rank))
        return Outcome::notRun(NotRunReason::QueueFull, "this instance is overloaded", std::chrono::milliseconds(200));

    const DatabaseConfig* database = this->bundle->findDatabase(request.database);
    if (database == nullptr)
        return Outcome::notRun(NotRunReason::UnknownDatabase, "the bundle in force has no database " + request.database.toString());
    if (request.session.find(request.database) == std::nullopt && request.session.getNumDatabases() >= SessionToken::maximumDatabases)
        return Outcome::notRun(NotRunReason::InvalidRequest, "the session holds 128 databases already; begin a new session");
    if (!request.key)
        return std::nullopt;

    std::int64_t now = toUnixMilliseconds(this->clock.wallNow());
    std::chrono::milliseconds retention = this->bundle->getProfile(*database).keyRetention;
    if (request.key->issuedAt < now - retention.count())
        return Outcome::notRun(NotRunReason::KeyExpired, "the idempotency key is older than the retention of " + std::to_string(retention.count() / 1000) + " s");
    if (request.key->issuedAt > now + maximumClockSkew.count())
        return Outcome::notRun(NotRunReason::InvalidRequest, "the idempotency key was issued in the future");
    return std::nullopt;
}

void RequestFlow::attempt(FlowId id)
{
    std::map<FlowId, std::unique_ptr<Flow>>::iterator found = this->flows.find(id);
    if (found == this->flows.end())
        return;

    Flow& flow = *found->second;
    AttemptResult notSent;
    notSent.kind = AttemptResult::Kind::NotSent;
    flow.numAttempts++;
    if (!this->chooseTarget(flow)) {
        this->onResult(id, notSent);
        return;
    }

    flow.hop = this->nextHop++;
    flow.sentAt = this->clock.now();
    this->hops[flow.hop] = id;
    HopRequest hop = this->makeHop(flow);
    if (!this->channel.sendToGate(flow.gate, hop)) {
        this->hops.erase(hop.hop);
        this->onResult(id, notSent);
    }
}

bool RequestFlow::chooseTarget(Flow& flow)
{
    const DatabaseConfig* database = this->bundle->findDatabase(flow.request.database);
    if (database == nullptr)
        return false;
    if (!flow.request.transaction.isEmpty())
        return this->chooseForTransaction(flow);

    if (flow.request.isRead())
        this->chooseForRead(flow, *database);
    else
        this->chooseForWrite(flow, *database);
    flow.gate = this->chooseGate(flow.upstream);
    return !flow.gate.isEmpty();
}

bool RequestFlow::chooseForTransaction(Flow& flow)
{
    const std::string& text = flow.request.transaction.toString();
    std::size_t first = text.find('~');
    std::size_t second = text.find('~', first + 1);
    if (first == std::string::npos || second == std::string::npos)
        return false;

    flow.gate = InstanceId(text.substr(0, first));
    flow.upstream = UpstreamId(text.substr(first + 1, second - first - 1));
    return true;
}

void RequestFlow::chooseForRead(Flow& flow, const DatabaseConfig& database)
{
    if (flow.readOrder.empty() || flow.readIndex >= flow.readOrder.size()) {
        std::map<DatabaseId, PrimaryHint>::iterator hint = this->hints.find(database.id);
        std::optional<UpstreamId> primary;
        if (hint != this->hints.end())
            primary = hint->second.upstream;
        flow.readOrder = this->router.getOrder(database, primary, this->clock.now());
        std::stable_partition(flow.readOrder.begin(), flow.readOrder.end(), [this](const UpstreamId& id) { return this->leaving.count(id) == 0; });
        flow.readIndex = 0;
    }
    flow.upstream = flow.readOrder[flow.readIndex++];
}

void RequestFlow::chooseForWrite(Flow& flow, const DatabaseConfig& database)
{
    std::map<DatabaseId, PrimaryHint>::iterator hint = this->hints.find(database.id);
    // Every third attempt takes the upstreams in turn, because the hint may name a former primary.
    bool ignoresHint = hint != this->hints.end() && flow.numAttempts % 3 == 0;
    if (hint != this->hints.end() && database.findUpstream(hint->second.upstream) != nullptr && !ignoresHint)
        flow.upstream = hint->second.upstream;
    else
        flow.upstream = database.upstreams[flow.numAttempts % database.upstreams.size()].id;
}

InstanceId RequestFlow::chooseGate(const UpstreamId& upstream) const
{
    const std::vector<InstanceId>& candidates = this->gates->getCandidates(upstream);
    for (const InstanceId& candidate : candidates) {
        if (!this->channel.isAvoided(candidate))
            return candidate;
    }
    return candidates.empty() ? InstanceId() : candidates.front();
}

void RequestFlow::onHopAnswer(HopResponse answer)
{
    std::map<std::uint64_t, FlowId>::iterator hop = this->hops.find(answer.hop);
    if (hop == this->hops.end())
        return;

    FlowId id = hop->second;
    this->hops.erase(hop);
    Flow& flow = *this->flows.at(id);
    if (answer.hint)
        this->updatePrimaryHint(flow.request.database, *answer.hint);
    if (flow.request.isRead())
        this->recordReadResult(flow, answer);

    AttemptResult result;
    result.outcome = std::move(answer.outcome);
    result.isInDoubt = answer.isInDoubt;
    bool isDone = result.outcome.kind == OutcomeKind::Completed && !result.isInDoubt;
    if (isDone)
        this->respond(id, std::move(result.outcome), answer.point, answer.transaction);
    else
        this->onResult(id, result);
}

void RequestFlow::recordReadResult(Flow& flow, const HopResponse& answer)
{
    TimePoint now = this->clock.now();
    if (answer.outcome.kind == OutcomeKind::Completed || answer.outcome.kind == OutcomeKind::Rejected) {
        this->router.onAnswer(flow.upstream, std::chrono::duration_cast<Duration>(now - flow.sentAt));
        bool isPrimary = answer.hint && answer.hint->upstream == flow.upstream;
        if (isPrimary)
            this->metrics.onPrimaryRead(toString(flow.primaryCause.value_or(PrimaryReadCause::Drawn)));
        else
            this->metrics.onReplicaRead();
        return;
    }

    if (answer.outcome.reason == NotRunReason::ReplicaBehind) {
        flow.primaryCause = PrimaryReadCause::ReplicaBehind;
        this->tryPrimaryNext(flow);
    } else if (answer.outcome.reason == NotRunReason::AgeNotProved) {
        flow.primaryCause = PrimaryReadCause::AgeNotProved;
    } else {
        flow.primaryCause = PrimaryReadCause::ReplicaFailed;
        this->router.onFailed(flow.upstream, now);
    }
}

void RequestFlow::tryPrimaryNext(Flow& flow)
{
    // Other replicas are as likely to lag behind as the one that was tried.
    std::map<DatabaseId, PrimaryHint>::iterator hint = this->hints.find(flow.request.database);
    if (hint == this->hints.end() || flow.upstream == hint->second.upstream)
        return;
    flow.readOrder = { hint->second.upstream };
    flow.readIndex = 0;
}

void RequestFlow::onResult(FlowId id, const AttemptResult& result)
{
    Flow& flow = *this->flows.at(id);
    TransactionAction action = flow.request.action;
    bool isTransaction = action != TransactionAction::None && action != TransactionAction::Begin;
    if (isTransaction && result.kind == AttemptResult::Kind::NotSent) {
        this->respond(id, Outcome::notRun(NotRunReason::PeerUnreachable, "the gate that holds the transaction cannot be reached"), std::nullopt, TransactionId());
        return;
    }

    AttemptPolicy::Decision decision = flow.policy.onResult(result, this->budget, this->clock.now());
    bool mayRepeat = decision.isRetry && !isTransaction;
    if (!mayRepeat) {
        Outcome outcome = decision.isRetry ? result.outcome : decision.outcome;
        this->respond(id, std::move(outcome), std::nullopt, TransactionId());
        return;
    }
    this->metrics.onRetry();
    flow.hop = 0;
    this->loop.schedule(decision.delay, [this, id] { this->attempt(id); });
}

void RequestFlow::onPeerLost(const InstanceId& instance, const std::vector<std::uint64_t>& unsentHops)
{
    std::set<std::uint64_t> unsent(unsentHops.begin(), unsentHops.end());
    std::vector<FlowId> affected;
    for (const std::pair<const FlowId, std::unique_ptr<Flow>>& entry : this->flows) {
        if (entry.second->hop != 0 && entry.second->gate == instance && this->hops.count(entry.second->hop) > 0)
            affected.push_back(entry.first);
    }

    for (FlowId id : affected) {
        Flow& flow = *this->flows.at(id);
        this->hops.erase(flow.hop);
        if (flow.request.isRead())
            this->router.onFailed(flow.upstream, this->clock.now());
        AttemptResult result;
        result.kind = unsent.count(flow.hop) > 0 ? AttemptResult::Kind::NotSent : AttemptResult::Kind::LinkLost;
        this->onResult(id, result);
    }
}

void RequestFlow::onPrimaryNotice(const DatabaseId& database, const PrimaryHint& hint)
{
    std::map<DatabaseId, PrimaryHint>::iterator known = this->hints.find(database);
    bool isNewer = known == this->hints.end() || known->second.term < hint.term;
    this->updatePrimaryHint(database, hint);
    if (!isNewer)
        return;

    std::vector<FlowId> affected;
    for (const std::pair<const FlowId, std::unique_ptr<Flow>>& entry : this->flows) {
        const Flow& flow = *entry.second;
        bool isSentToFormerPrimary = flow.request.key && flow.request.database == database && flow.upstream != hint.upstream && this->hops.count(flow.hop) > 0;
        if (isSentToFormerPrimary)
            affected.push_back(entry.first);
    }
    for (FlowId id : affected) {
        this->hops.erase(this->flows.at(id)->hop);
        AttemptResult result;
        result.kind = AttemptResult::Kind::LinkLost;
        this->onResult(id, result);
    }
}

void RequestFlow::onTick()
{
    TimePoint now = this->clock.now();
    this->shedder.onTick(now);
    std::vector<FlowId> expired;
    for (const std::pair<const FlowId, std::unique_ptr<Flow>>& entry : this->flows) {
        if (now >= entry.second->deadline + answerGracePeriod)
            expired.push_back(entry.first);
    }
    for (FlowId id : expired) {
        Flow& flow = *this->flows.at(id);
        bool isInFlight = this->hops.erase(flow.hop) > 0;
        Outcome outcome = flow.policy.onDeadline(isInFlight);
        this->respond(id, std::move(outcome), std::nullopt, TransactionId());
    }
}

void RequestFlow::respond(FlowId id, Outcome outcome, const std::optional<LogPoint>& point, const TransactionId& transaction)
{
    std::unique_ptr<Flow> flow = std::move(this->flows.at(id));
    this->flows.erase(id);
    this->metrics.onAnswered(flow->request.rank, outcome, std::chrono::duration_cast<Duration>(this->clock.now() - flow->arrivedAt));

    CallerResponse answer;
    answer.id = flow->request.id;
    answer.outcome = std::move(outcome);
    SessionToken session = flow->request.session;
    if (point)
        session.advance(flow->request.database, *point);
    answer.session = session.toString();
    answer.transaction = transaction;
    flow->handler(answer);
}

void RequestFlow::updatePrimaryHint(const DatabaseId& database, const PrimaryHint& hint)
{
    PrimaryHint& known = this->hints[database];
    if (known.term < hint.term)
        known = hint;
}

HopRequest RequestFlow::makeHop(const Flow& flow) const
{
    HopRequest hop;
    hop.hop = flow.hop;
    hop.request = flow.request;
    hop.upstream = flow.upstream;
    hop.remaining = std::chrono::duration_cast<Duration>(flow.deadline - this->clock.now());
    std::map<DatabaseId, PrimaryHint>::const_iterator hint = this->hints.find(flow.request.database);
    const DatabaseConfig* database = this->bundle->findDatabase(flow.request.database);
    const UpstreamConfig* primary = hint == this->hints.end() ? nullptr : database->findUpstream(hint->second.upstream);
    if (primary != nullptr)
        hop.alternativeCost = this->router.estimate(*primary);
    return hop;
}

} // namespace lentiljunction
