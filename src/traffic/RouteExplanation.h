#pragma once

#include "StatementDeadlines.h"
#include "TrafficState.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/interactive/FailureCause.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// A question where a statement would go.
struct RouteQuestion {
    /// The kinds of statements that are routed differently.
    enum class Kind {
        Read,
        Write,
        Begin,
        BeginRead,
    };

    DatabaseId database;
    Kind kind = Kind::Read;
    /// The workspace of the session; empty without one.
    WorkspaceId workspace = WorkspaceId();
};

/// @returns "read", "write", "begin" or "begin-read"
const char* toString(RouteQuestion::Kind kind);

/// @returns the kind with this name, or nothing
std::optional<RouteQuestion::Kind> parseRouteQuestionKind(const std::string& name);

/// @returns the name in answers to `lentiljunction route`
const char* toString(Exclusion exclusion);

/// @returns the name in answers to `lentiljunction route`
const char* toString(PrimaryObstacle obstacle);

/// @returns the name in answers to `lentiljunction route`
const char* toString(Consistency consistency);

/// Where a statement would go now, and why.
struct RouteExplanation {
    /// An upstream of the route's group.
    struct Upstream {
        UpstreamEntry entry;
        ReadCandidate candidate;
        /// The log entries that are missing, compared with the newest known head of the primary.
        std::optional<std::uint64_t> lag;
        /// The parts by which a read compares it with the others; empty when it is no candidate.
        std::optional<ReadEstimate> estimate;
        std::optional<Exclusion> exclusion;
        /// The expected wait for a connection; empty when another instance decides, or when it was not asked.
        std::optional<Duration> wait;
    };

    /// The workspace of the question, in a deployment with workspaces.
    struct Workspace {
        /// The decision on a caller with a key of the workspace, or with a key of no workspace if it does not exist.
        KeyVerdict verdict = KeyVerdict::Unknown;
        /// Empty when the workspace does not exist, or when the question names none.
        std::optional<WorkspaceConfig> config;
    };

    /// What happens to the statement.
    enum class Action {
        /// It is sent to the chosen upstream.
        Send,
        /// It waits for an upstream, and is refused when none becomes available.
        Wait,
        /// It is refused at once.
        Refuse,
    };

    RouteQuestion question;
    BundleVersion routesVersion;
    Route route;
    ZoneId zone;
    std::optional<Workspace> workspace;
    bool needsPrimary = false;
    PrimaryDecision primary;
    bool hasValidLease = false;
    /// The age of the newest freshness proof.
    std::optional<Duration> proofAge;
    /// Whether a freshness proof is recent enough for the read, and the log point that a replica must have reached.
    bool hasProof = false;
    std::optional<LogPoint> required;
    std::vector<Upstream> upstreams;
    Action action = Action::Refuse;
    /// Set with Action::Send.
    std::optional<UpstreamId> chosen;
    /// The cause when it is not sent at once.
    FailureCause cause = FailureCause::None;
    /// How long it may wait for an upstream.
    Duration longestWait { 0 };
    /// When a missing primary is expected back, from now.
    std::optional<Duration> expectedReturn;
};

/// Explains where a statement would go. Sends nothing and changes no state.
///
/// The answer is for the first statement of a session: such a session has made no commit that its reads must see.
///
/// @see TrafficState, which decides
class RouteExplainer {
public:
    /// @param state must outlive this object
    /// @param lookup finds the connections to an upstream
    RouteExplainer(const TrafficState& state, TrafficState::SourceLookup lookup);

    /// @param failure set to NotFound when no route leads to the database, and to Unavailable while no routes are known
    /// @returns the answer, or nothing
    std::optional<RouteExplanation> explain(const RouteQuestion& question, Failure& failure) const;

private:
    /// @returns whether statements of the workspace may run
    bool explainWorkspace(RouteExplanation& answer, const RouteTable& routes) const;
    void explainPrimary(RouteExplanation& answer, const StatementDeadlines& deadlines) const;
    void explainRead(RouteExplanation& answer, const StatementDeadlines& deadlines) const;
    void describeUpstreams(RouteExplanation& answer) const;
    void explainMissingTarget(RouteExplanation& answer, const StatementDeadlines& deadlines) const;
    bool choose(RouteExplanation& answer, const UpstreamId& upstream, const StatementDeadlines& deadlines) const;

    const TrafficState& state;
    TrafficState::SourceLookup lookup;
};

} // namespace lentiljunction
