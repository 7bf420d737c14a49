#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/Outcome.h"
#include "lentiljunction/session/TermHistory.h"

#include <optional>

namespace lentiljunction {

/// The status that an upstream reports about itself, read atomically.
struct UpstreamStatus {
    /// Whether the upstream accepts writes.
    bool isPrimary = false;
    /// The highest term at which the upstream was fenced: it accepts no lower one.
    Term fencedTerm;
    /// The last entry of its log.
    LogPoint head;
    TermHistory history;
    /// Whether the upstream is leaving the group.
    bool isLeaving = false;

    /// @returns whether its log contains the entry
    Coverage getCoverage(LogPoint point) const { return this->history.getCoverage(point, this->head.position); }
};

/// Parses the result of a status, fence or promote statement.
///
/// The result is one row with the columns role, fenced_term, head_term, head_position,
/// term_history and state.
///
/// @param result the statement's result set
/// @param failure receives the name of a missing or malformed column
/// @returns the status, or nothing
std::optional<UpstreamStatus> parseUpstreamStatus(const ResultSet& result, Failure& failure);

} // namespace lentiljunction
