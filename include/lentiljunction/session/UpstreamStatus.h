#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/Outcome.h"
#include "lentiljunction/session/TermHistory.h"

#include <optional>

namespace lentiljunction {

/// What an upstream reports about itself, read at one instant.
struct UpstreamStatus {
    /// Whether the upstream takes writes.
    bool isPrimary = false;
    /// The highest term that the upstream has promised to.
    Term fencedTerm;
    /// The last entry of its log.
    LogPoint head;
    TermHistory history;
    /// Whether the upstream is about to leave.
    bool isLeaving = false;

    /// @returns whether its log contains the entry
    Coverage getCoverage(LogPoint point) const { return this->history.getCoverage(point, this->head.position); }
};

/// Reads the answer of a status, fence or promote statement.
///
/// The answer is one row with the columns role, fenced_term, head_term, head_position,
/// term_history and state.
///
/// @param result the statement's result set
/// @param failure says which column is missing or malformed
/// @returns the status, or nothing
std::optional<UpstreamStatus> parseUpstreamStatus(const ResultSet& result, Failure& failure);

} // namespace lentiljunction
