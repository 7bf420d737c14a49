#include "RouteExplanation.h"

#include "SessionKey.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::array<std::pair<RouteQuestion::Kind, const char*>, 4> kindNames { {
        { RouteQuestion::Kind::Read, "read" },
        { RouteQuestion::Kind::Write, "write" },
        { RouteQuestion::Kind::Begin, "begin" },
        { RouteQuestion::Kind::BeginRead, "begin-read" },
    } };

    constexpr std::array<std::pair<Exclusion, const char*>, 7> exclusionNames { {
        { Exclusion::Leaving, "leaving" },
        { Exclusion::Tried, "tried" },
        { Exclusion::Unreachable, "unreachable" },
        { Exclusion::TooLoaded, "too_loaded" },
        { Exclusion::NoFreshnessProof, "no_freshness_proof" },
        { Exclusion::NotPrimary, "not_primary" },
        { Exclusion::PrimaryNotUsable, "primary_not_usable" },
    } };

    constexpr std::array<std::pair<PrimaryObstacle, const char*>, 5> obstacleNames { {
        { PrimaryObstacle::Unknown, "not_known" },
        { PrimaryObstacle::Changing, "being_replaced" },
        { PrimaryObstacle::NoLease, "no_lease" },
        { PrimaryObstacle::NotListed, "not_listed" },
        { PrimaryObstacle::Leaving, "leaving" },
    } };

    constexpr std::array<std::pair<Consistency, const char*>, 3> consistencyNames { {
        { Consistency::Primary, "primary" },
        { Consistency::ReadYourWrites, "read_your_writes" },
        { Consistency::BoundedStaleness, "bounded_staleness" },
    } };

    template <typename Names, typename Value>
    const char* findName(const Names& names, Value value)
    {
        for (const std::pair<Value, const char*>& entry : names) {
            if (entry.first == value)
                return entry.second;
        }
        return "unknown";
    }

    RouteExplanation::Upstream& findUpstream(RouteExplanation& answer, const UpstreamId& id)
    {
        return *std::find_if(answer.upstreams.begin(), answer.upstreams.end(), [&](const RouteExplanation::Upstream& upstream) { return upstream.entry.id == id; });
    }

    bool isReadOnly(RouteQuestion::Kind kind)
    {
        return kind == RouteQuestion::Kind::Read || kind == RouteQuestion::Kind::BeginRead;
    }

} // namespace

const char* toString(RouteQuestion::Kind kind)
{
    return findName(kindNames, kind);
}

std::optional<RouteQuestion::Kind> parseRouteQuestionKind(const std::string& name)
{
    for (const std::pair<RouteQuestion::Kind, const char*>& entry : kindNames) {
        if (name == entry.second)
            return entry.first;
    }
    return std::nullopt;
}

const char* toString(Exclusion exclusion)
{
    return findName(exclusionNames, exclusion);
}

const char* toString(PrimaryObstacle obstacle)
{
    return findName(obstacleNames, obstacle);
}

const char* toString(Consistency consistency)
{
    return findName(consistencyNames, consistency);
}

RouteExplainer::RouteExplainer(const TrafficState& state, TrafficState::SourceLookup lookup)
    : state(state)
    , lookup(std::move(lookup))
{
}

std::optional<RouteExplanation> RouteExplainer::explain(const RouteQuestion& question, Failure& failure) const
{
    std::shared_ptr<const RouteTable> routes = this->state.getRoutes();
    if (routes == nullptr) {
        failure.set(Failure::Kind::Unavailable, "the instance has no routing configuration yet");
        return std::nullopt;
    }
    const Route* route = routes->find(question.database);
    if (route == nullptr) {
        failure.set(Failure::Kind::NotFound, "no route leads to the database " + question.database.toString() + " (version " + std::to_string(routes->version.value()) + " of the routes)");
        return std::nullopt;
    }
    RouteExplanation answer;
    answer.question = question;
    answer.routesVersion = routes->version;
    answer.route = *route;
    answer.zone = this->state.getZone();
    answer.needsPrimary = needsPrimary(*route, isReadOnly(question.kind) ? AccessMode::Read : AccessMode::Write);
    answer.primary = this->state.decidePrimary(route->group);
    answer.hasValidLease = this->state.hasValidLease(route->group);
    std::optional<BootTime> proof = this->state.findNewestProof(route->group);
    if (proof)
        answer.proofAge = std::chrono::duration_cast<Duration>(this->state.getClock().bootNow() - *proof);
    this->describeUpstreams(answer);

    if (!this->explainWorkspace(answer, *routes))
        return answer;

    // BEGIN is answered at once; until its transaction has a connection, each of its statements looks for one.
    StatementDeadlines deadlines(*route, isReadOnly(question.kind) ? SessionVerb::Read : SessionVerb::Write, this->state.getClock().now());
    if (answer.needsPrimary)
        this->explainPrimary(answer, deadlines);
    else
        this->explainRead(answer, deadlines);
    if (!answer.chosen)
        this->explainMissingTarget(answer, deadlines);
    return answer;
}

bool RouteExplainer::explainWorkspace(RouteExplanation& answer, const RouteTable& routes) const
{
    if (!routes.workspaces)
        return true;
    const WorkspaceConfig* config = routes.workspaces->find(answer.question.workspace);
    bool hasKey = config != nullptr && !config->keys.empty();
    KeyVerdict verdict = checkKey(this->state, answer.route.database, hasKey ? *config->keys.begin() : KeyDigest()).verdict;
    answer.workspace = RouteExplanation::Workspace { verdict, config == nullptr ? std::nullopt : std::optional<WorkspaceConfig>(*config) };
    if (mayRun(verdict))
        return true;
    answer.action = RouteExplanation::Action::Refuse;
    answer.cause = toFailureCause(verdict);
    return false;
}

void RouteExplainer::describeUpstreams(RouteExplanation& answer) const
{
    std::optional<LogPoint> head;
    for (const FreshnessProofs::Newest& proof : this->state.listNewestProofs()) {
        if (proof.group == answer.route.group)
            head = proof.head;
    }
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : this->state.getUpstreams()->entries) {
        if (entry.second.group != answer.route.group)
            continue;
        bool isPrimary = answer.primary.isUsable() && answer.primary.primary->upstream == entry.first;
        RouteExplanation::Upstream upstream { entry.second, this->state.describeCandidate(entry.second, *this->lookup(entry.second), isPrimary), std::nullopt, std::nullopt, std::nullopt, std::nullopt };
        const std::optional<LogPoint>& seen = upstream.candidate.lastKnownHead;
        if (head && seen)
            upstream.lag = seen->position < head->position ? head->position.value() - seen->position.value() : 0;
        answer.upstreams.push_back(std::move(upstream));
    }
}

void RouteExplainer::explainPrimary(RouteExplanation& answer, const StatementDeadlines& deadlines) const
{
    for (RouteExplanation::Upstream& upstream : answer.upstreams) {
        bool isKnownPrimary = answer.primary.primary && answer.primary.primary->upstream == upstream.entry.id;
        if (!isKnownPrimary)
            upstream.exclusion = Exclusion::NotPrimary;
        else if (!answer.primary.isUsable())
            upstream.exclusion = Exclusion::PrimaryNotUsable;
    }
    answer.cause = FailureCause::NoPrimary;
    if (answer.primary.isUsable())
        this->choose(answer, answer.primary.primary->upstream, deadlines);
}

void RouteExplainer::explainRead(RouteExplanation& answer, const StatementDeadlines& deadlines) const
{
    answer.cause = FailureCause::NoFreshData;
    ReadRequirement requirement { &answer.route, this->state.getClock().bootNow(), std::nullopt, {} };
    std::vector<ExcludedUpstream> excluded;
    ReadPlan plan = this->state.planRead(requirement, answer.primary, this->lookup, &excluded);
    answer.hasProof = plan.hasProof;
    answer.required = plan.required;
    for (const ExcludedUpstream& upstream : excluded)
        findUpstream(answer, upstream.upstream).exclusion = upstream.exclusion;
    for (const ReadCandidate& candidate : plan.candidates)
        findUpstream(answer, candidate.upstream).estimate = estimateRead(candidate, plan.required);

    // A read that the chosen upstream refuses goes to the next best one.
    while (plan.chosen && !this->choose(answer, *plan.chosen, deadlines)) {
        requirement.tried.insert(*plan.chosen);
        plan = this->state.planRead(requirement, answer.primary, this->lookup, nullptr);
    }
}

bool RouteExplainer::choose(RouteExplanation& answer, const UpstreamId& id, const StatementDeadlines& deadlines) const
{
    RouteExplanation::Upstream& upstream = findUpstream(answer, id);
    TimePoint deadline = deadlines.getAcquireDeadline(answer.needsPrimary, this->state.getClock().now());
    ConnectionSource::Request request { answer.route.rank, CallerId(answer.question.workspace.toString()), deadline, nullptr, answer.question.workspace };
    std::optional<ConnectionSource::Forecast> forecast = this->lookup(upstream.entry)->forecast(request);
    if (forecast)
        upstream.wait = forecast->wait;
    if (forecast && forecast->denial) {
        bool isTooLong = *forecast->denial == ConnectionSource::Denial::TooLong;
        upstream.exclusion = isTooLong ? Exclusion::TooLoaded : Exclusion::Unreachable;
        answer.cause = isTooLong ? FailureCause::WaitTooLong : FailureCause::Unreachable;
        return false;
    }
    answer.action = RouteExplanation::Action::Send;
    answer.chosen = id;
    answer.cause = FailureCause::None;
    return true;
}

void RouteExplainer::explainMissingTarget(RouteExplanation& answer, const StatementDeadlines& deadlines) const
{
    TimePoint now = this->state.getClock().now();
    answer.longestWait = std::chrono::duration_cast<Duration>(deadlines.getUpstreamWaitDeadline() - now);
    bool isPrimaryLost = answer.needsPrimary && answer.cause == FailureCause::Unreachable;
    std::optional<TimePoint> expected = this->state.forecastReturn(answer.route.group, isPrimaryLost || !answer.primary.isUsable());
    if (expected)
        answer.expectedReturn = std::max(Duration(0), std::chrono::duration_cast<Duration>(*expected - now));
    // A read waits for a proof while the primary is usable, and tries an upstream that cannot be reached again.
    bool isReadRetried = !answer.needsPrimary && (answer.primary.isUsable() || answer.cause == FailureCause::Unreachable);
    bool isWaiting = answer.cause != FailureCause::WaitTooLong && deadlines.isWaitWorthwhile(now, isReadRetried ? std::nullopt : expected);
    answer.action = isWaiting ? RouteExplanation::Action::Wait : RouteExplanation::Action::Refuse;
}

} // namespace lentiljunction
