#include "lentiljunction/core/Outcome.h"

#include <array>
#include <utility>

namespace lentiljunction {

namespace {

    struct ReasonName {
        NotRunReason reason;
        const char* name;
    };

    constexpr std::array<ReasonName, 19> reasonNames { {
        { NotRunReason::InvalidRequest, "invalid_request" },
        { NotRunReason::UnknownDatabase, "unknown_database" },
        { NotRunReason::QueueFull, "queue_full" },
        { NotRunReason::DeadlineTooShort, "deadline_too_short" },
        { NotRunReason::DeadlinePassed, "deadline_passed" },
        { NotRunReason::NoPrimary, "no_primary" },
        { NotRunReason::NotPrimary, "not_primary" },
        { NotRunReason::WrongGate, "wrong_gate" },
        { NotRunReason::UpstreamUnavailable, "upstream_unavailable" },
        { NotRunReason::UpstreamLeaving, "upstream_leaving" },
        { NotRunReason::PeerUnreachable, "peer_unreachable" },
        { NotRunReason::ReplicaBehind, "replica_behind" },
        { NotRunReason::AgeNotProved, "age_not_proved" },
        { NotRunReason::SessionLost, "session_lost" },
        { NotRunReason::KeyExpired, "key_expired" },
        { NotRunReason::KeyReused, "key_reused" },
        { NotRunReason::TransactionGone, "transaction_gone" },
        { NotRunReason::NotReady, "not_ready" },
        { NotRunReason::Draining, "draining" },
    } };

    constexpr std::array<OutcomeKind, 4> allKinds {
        OutcomeKind::Completed, OutcomeKind::Rejected, OutcomeKind::NotRun, OutcomeKind::Unknown
    };

} // namespace

std::string toString(NotRunReason reason)
{
    for (const ReasonName& entry : reasonNames) {
        if (entry.reason == reason)
            return entry.name;
    }
    return "not_ready";
}

std::optional<NotRunReason> parseNotRunReason(const std::string& text)
{
    for (const ReasonName& entry : reasonNames) {
        if (text == entry.name)
            return entry.reason;
    }
    return std::nullopt;
}

std::string toString(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Completed:
        return "completed";
    case OutcomeKind::Rejected:
        return "rejected";
    case OutcomeKind::NotRun:
        return "not_run";
    case OutcomeKind::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::optional<OutcomeKind> parseOutcomeKind(const std::string& text)
{
    for (OutcomeKind kind : allKinds) {
        if (toString(kind) == text)
            return kind;
    }
    return std::nullopt;
}

Outcome Outcome::completed(std::vector<ResultSet> results)
{
    Outcome outcome;
    outcome.kind = OutcomeKind::Completed;
    outcome.results = std::move(results);
    return outcome;
}

Outcome Outcome::rejected(std::string sqlState, std::string detail)
{
    Outcome outcome;
    outcome.kind = OutcomeKind::Rejected;
    outcome.sqlState = std::move(sqlState);
    outcome.detail = std::move(detail);
    return outcome;
}

Outcome Outcome::notRun(NotRunReason reason, std::string detail, std::chrono::milliseconds retryAfter)
{
    Outcome outcome;
    outcome.kind = OutcomeKind::NotRun;
    outcome.reason = reason;
    outcome.detail = std::move(detail);
    outcome.retryAfter = retryAfter;
    return outcome;
}

Outcome Outcome::unknown(std::string detail)
{
    Outcome outcome;
    outcome.kind = OutcomeKind::Unknown;
    outcome.detail = std::move(detail);
    return outcome;
}

} // namespace lentiljunction
