#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// One result set of a statement.
struct ResultSet {
    std::vector<std::string> columns;
    /// A missing value is SQL NULL.
    std::vector<std::vector<std::optional<std::string>>> rows;
    /// Rows changed by a statement that returns none.
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

/// @returns the reason as written in answers and metrics
std::string toString(NotRunReason reason);

/// @returns the reason of a name, or nothing
std::optional<NotRunReason> parseNotRunReason(const std::string& text);

/// What became of a request. Exactly one is given for each request.
enum class OutcomeKind {
    /// The statements ran and their effect is durable.
    Completed,
    /// The database refused a statement and nothing was kept.
    Rejected,
    /// No statement ran.
    NotRun,
    /// The statements may have run.
    Unknown,
};

/// @returns the kind as written in answers and metrics
std::string toString(OutcomeKind kind);

/// @returns the kind of a name, or nothing
std::optional<OutcomeKind> parseOutcomeKind(const std::string& text);

/// The outcome of a request with what belongs to it.
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
    /// One sentence for a person; empty for Completed.
    std::string detail;
    /// For NotRun: when another try makes sense.
    std::chrono::milliseconds retryAfter { 0 };

    /// @param results the rows of each statement
    static Outcome completed(std::vector<ResultSet> results);
    /// @param sqlState the five characters of the database's error
    /// @param detail the database's message
    static Outcome rejected(std::string sqlState, std::string detail);
    /// @param reason why it did not run
    /// @param detail one sentence for a person
    /// @param retryAfter when another try makes sense
    static Outcome notRun(NotRunReason reason, std::string detail, std::chrono::milliseconds retryAfter = std::chrono::milliseconds(100));
    /// @param detail what is not known
    static Outcome unknown(std::string detail);
};

} // namespace lentiljunction
