#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// One result set of a statement.
struct ResultSet {
    std::vector<std::string> columns;
    /// An empty optional is SQL NULL.
    std::vector<std::vector<std::optional<std::string>>> rows;
    /// The number of rows changed by a statement that returns no rows.
    std::uint64_t affectedRows = 0;
};

/// Why a request was not run.
enum class NotRunReason {
    InvalidRequest,
    UnknownDatabase,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    NoPrimary,
    NotPrimary,
    WrongGate,
    UpstreamUnavailable,
    UpstreamLeaving,
    PeerUnreachable,
    ReplicaBehind,
    AgeNotProved,
    SessionLost,
    KeyExpired,
    KeyReused,
    TransactionGone,
    NotReady,
    Draining,
};

/// @returns the name used in responses and metrics
std::string toString(NotRunReason reason);

/// @returns the reason with this name, or nothing
std::optional<NotRunReason> parseNotRunReason(const std::string& text);

/// The result of a request. Each request has exactly one outcome.
enum class OutcomeKind {
    /// The statements ran and their effects are durable.
    Completed,
    /// The database rejected a statement; the request has no effect.
    Rejected,
    /// No statement ran.
    NotRun,
    /// The statements may have run.
    Unknown,
};

/// @returns the name used in responses and metrics
std::string toString(OutcomeKind kind);

/// @returns the kind with this name, or nothing
std::optional<OutcomeKind> parseOutcomeKind(const std::string& text);

/// The outcome of a request, with the fields that its kind uses.
///
/// @code
/// return Outcome::notRun(NotRunReason::QueueFull, "queue wait exceeds 100 ms", std::chrono::milliseconds(200));
/// @endcode
struct Outcome {
    OutcomeKind kind = OutcomeKind::Unknown;
    /// For Completed.
    std::vector<ResultSet> results;
    /// For Rejected: the SQLSTATE of the database.
    std::string sqlState;
    /// For NotRun.
    NotRunReason reason = NotRunReason::NotReady;
    /// A sentence for users; empty for Completed.
    std::string detail;
    /// For NotRun: the delay after which a retry makes sense.
    std::chrono::milliseconds retryAfter { 0 };

    /// @param results the result set of each statement
    static Outcome completed(std::vector<ResultSet> results);
    /// @param sqlState the five-character SQLSTATE of the database's error
    /// @param detail the database's message
    static Outcome rejected(std::string sqlState, std::string detail);
    /// @param reason why no statement ran
    /// @param detail a sentence for users
    /// @param retryAfter the delay after which a retry makes sense
    static Outcome notRun(NotRunReason reason, std::string detail, std::chrono::milliseconds retryAfter = std::chrono::milliseconds(100));
    /// @param detail a sentence about what is unknown
    static Outcome unknown(std::string detail);
};

} // namespace lentiljunction
