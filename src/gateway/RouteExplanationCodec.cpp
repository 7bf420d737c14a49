#include "RouteExplanationCodec.h"

#include <algorithm>
#include <array>
#include <httplib.h>

namespace lentiljunction {

namespace {

    nlohmann::json toJson(const std::optional<Duration>& duration)
    {
        return duration ? nlohmann::json(std::chrono::duration<double, std::milli>(*duration).count()) : nlohmann::json();
    }

    nlohmann::json toJson(const std::optional<LogPoint>& point)
    {
        return point ? nlohmann::json(toString(*point)) : nlohmann::json();
    }

    nlohmann::json toJson(const ReadEstimate& estimate)
    {
        return {
            { "total_ms", toJson(std::optional<Duration>(estimate.getTotal())) },
            { "work_ms", toJson(std::optional<Duration>(estimate.work)) },
            { "connect_ms", toJson(std::optional<Duration>(estimate.connect)) },
            { "primary_ms", toJson(std::optional<Duration>(estimate.primary)) },
            { "other_zone_ms", toJson(std::optional<Duration>(estimate.crossZone)) },
            { "behind_ms", toJson(std::optional<Duration>(estimate.lag)) },
        };
    }

    const char* describeRole(const RouteExplanation& answer, const UpstreamId& upstream)
    {
        if (!answer.primary.primary)
            return "unknown";
        return answer.primary.primary->upstream == upstream ? "primary" : "replica";
    }

    nlohmann::json toJson(const RouteExplanation& answer, const RouteExplanation::Upstream& upstream)
    {
        const ReadCandidate& candidate = upstream.candidate;
        return {
            { "upstream", upstream.entry.id.toString() },
            { "zone", upstream.entry.zone.toString() },
            { "own_zone", candidate.isLocal },
            { "role", describeRole(answer, upstream.entry.id) },
            { "leaving", upstream.entry.isLeaving },
            { "idle_connection", candidate.hasIdleConnection },
            { "latency_ms", toJson(std::optional<Duration>(candidate.latency)) },
            { "load", candidate.load },
            { "log_head", toJson(candidate.lastKnownHead) },
            { "log_head_age_ms", toJson(candidate.lastKnownHead ? std::optional<Duration>(candidate.lastKnownHeadAge) : std::nullopt) },
            { "lag_entries", upstream.lag ? nlohmann::json(*upstream.lag) : nlohmann::json() },
            { "avoided", candidate.isAvoided },
            { "probe_due", candidate.isProbeDue },
            { "estimate", upstream.estimate ? toJson(*upstream.estimate) : nlohmann::json() },
            { "expected_wait_ms", toJson(upstream.wait) },
            { "left_out", upstream.exclusion ? nlohmann::json(toString(*upstream.exclusion)) : nlohmann::json() },
            { "chosen", answer.chosen == upstream.entry.id },
        };
    }

    /// The keys and their digests are left out.
    nlohmann::json describeWorkspace(const RouteExplanation& answer)
    {
        const std::optional<WorkspaceConfig>& config = answer.workspace->config;
        nlohmann::json document {
            { "name", answer.question.workspace.isEmpty() ? nlohmann::json() : nlohmann::json(answer.question.workspace.toString()) },
            { "known", config.has_value() },
            { "key", toString(answer.workspace->verdict) },
            { "limit", nullptr },
        };
        if (config && config->hasLimit())
            document["limit"] = { { "rate_per_s", config->ratePerSecond }, { "burst", config->burst } };
        return document;
    }

    nlohmann::json describeDecision(const RouteExplanation& answer)
    {
        if (answer.action == RouteExplanation::Action::Send)
            return { { "action", "send" }, { "upstream", answer.chosen->toString() } };
        bool isWaiting = answer.action == RouteExplanation::Action::Wait;
        return {
            { "action", isWaiting ? "wait" : "refuse" },
            { "cause", toString(answer.cause) },
            { "reason", describe(answer.cause) },
            { "longest_wait_ms", toJson(isWaiting ? std::optional<Duration>(answer.longestWait) : std::nullopt) },
            { "primary_expected_in_ms", toJson(answer.expectedReturn) },
        };
    }

    constexpr std::array<const char*, 3> parameterNames { "database", "statement", "workspace" };

    /// Refuses a parameter that is given twice, and one that a newer program may send and this one would ignore.
    bool checkParameters(const httplib::Params& parameters, Failure& failure)
    {
        for (const std::pair<const std::string, std::string>& parameter : parameters) {
            bool isKnown = std::find(parameterNames.begin(), parameterNames.end(), parameter.first) != parameterNames.end();
            if (isKnown && parameters.count(parameter.first) == 1)
                continue;
            failure.set(Failure::Kind::InvalidInput, "the parameter " + parameter.first + (isKnown ? " is given twice" : " is unknown; allowed are database, statement and workspace"));
            return false;
        }
        return true;
    }

    std::string getParameter(const httplib::Params& parameters, const std::string& name, const std::string& fallback = "")
    {
        httplib::Params::const_iterator found = parameters.find(name);
        return found == parameters.end() ? fallback : found->second;
    }

} // namespace

std::optional<RouteQuestion> parseRouteQuestion(const std::string& resource, Failure& failure)
{
    httplib::Params parameters;
    std::size_t query = resource.find('?');
    if (query != std::string::npos)
        httplib::detail::parse_query_text(resource.substr(query + 1), parameters);
    if (!checkParameters(parameters, failure))
        return std::nullopt;
    std::string database = getParameter(parameters, "database");
    if (database.empty()) {
        failure.set(Failure::Kind::InvalidInput, "the parameter database is missing");
        return std::nullopt;
    }
    std::optional<RouteQuestion::Kind> kind = parseRouteQuestionKind(getParameter(parameters, "statement", "read"));
    if (!kind) {
        failure.set(Failure::Kind::InvalidInput, "the statement must be read, write, begin or begin-read");
        return std::nullopt;
    }
    return RouteQuestion { DatabaseId(database), *kind, WorkspaceId(getParameter(parameters, "workspace")) };
}

nlohmann::json toJson(const RouteExplanation& answer)
{
    const Route& route = answer.route;
    bool hasPrimary = answer.primary.primary.has_value();
    nlohmann::json document {
        { "database", route.database.toString() },
        { "statement", toString(answer.question.kind) },
        { "zone", answer.zone.toString() },
        { "routes_version", answer.routesVersion.value() },
    };
    document["workspace"] = answer.workspace ? describeWorkspace(answer) : nlohmann::json();
    document["route"] = {
        { "group", route.group.toString() },
        { "consistency", toString(route.consistency) },
        { "rank", toString(route.rank) },
        { "statement_timeout_ms", toJson(std::optional<Duration>(route.statementTimeout)) },
        { "maximum_staleness_ms", toJson(route.consistency == Consistency::Primary ? std::nullopt : std::optional<Duration>(route.maximumStaleness)) },
    };
    document["primary"] = {
        { "needed", answer.needsPrimary },
        { "upstream", hasPrimary ? nlohmann::json(answer.primary.primary->upstream.toString()) : nlohmann::json() },
        { "generation", hasPrimary ? nlohmann::json(answer.primary.primary->generation) : nlohmann::json() },
        { "usable", answer.primary.isUsable() },
        { "obstacle", answer.primary.obstacle ? nlohmann::json(toString(*answer.primary.obstacle)) : nlohmann::json() },
        { "lease", answer.hasValidLease },
    };
    document["freshness"] = { { "proof_age_ms", toJson(answer.proofAge) }, { "proof_recent_enough", answer.hasProof }, { "required_head", toJson(answer.required) } };
    document["upstreams"] = nlohmann::json::array();
    for (const RouteExplanation::Upstream& upstream : answer.upstreams)
        document["upstreams"].push_back(toJson(answer, upstream));
    document["decision"] = describeDecision(answer);
    return document;
}

} // namespace lentiljunction
