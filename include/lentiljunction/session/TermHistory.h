#pragma once

#include "lentiljunction/core/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// Identifies an entry of a database group's log.
struct LogPoint {
    Term term;
    Position position;

    friend bool operator==(LogPoint left, LogPoint right) { return left.term == right.term && left.position == right.position; }
    friend bool operator!=(LogPoint left, LogPoint right) { return !(left == right); }

    /// Orders log heads as an election does, by term and then by position.
    friend bool operator<(LogPoint left, LogPoint right)
    {
        if (left.term != right.term)
            return left.term < right.term;
        return left.position < right.position;
    }
};

/// @returns "term:position", for logs
inline std::string toString(LogPoint point)
{
    return std::to_string(point.term.value()) + ":" + std::to_string(point.position.value());
}

/// Whether a log contains an entry.
enum class Coverage {
    /// The entry is in the log.
    Covered,
    /// The log does not reach the entry yet.
    Behind,
    /// The log has diverged from the one that holds the entry; it will never contain the entry.
    Diverged,
};

/// The terms of a log and the position of the first entry of each.
///
/// A position alone does not identify an entry: after a promotion, two logs may hold different entries
/// at the same position. The history tells which term the entry at a position belongs to.
///
/// @code
/// std::optional<TermHistory> history = TermHistory::parse("1:1,4:121");
/// history->getCoverage({ Term(1), Position(120) }, Position(130)); // Coverage::Covered
/// @endcode
class TermHistory {
public:
    /// A term and the position of its first entry.
    struct Start {
        Term term;
        Position position;
    };

    /// @param text "term:position" pairs, ascending, separated by commas; may be empty
    /// @returns the history, or nothing when the text is malformed or not ascending
    static std::optional<TermHistory> parse(const std::string& text);

    /// @returns the history as text
    std::string toString() const;

    /// @param point the entry to look for
    /// @param head the position of the log's last entry
    /// @returns whether the log contains the entry
    Coverage getCoverage(LogPoint point, Position head) const;

    /// @returns the position of a term's first entry, or nothing when the log has no entry of the term
    std::optional<Position> findStart(Term term) const;

    /// Adds the start of a higher term.
    void append(Start start);

    /// @returns the terms, ascending
    const std::vector<Start>& getStarts() const { return this->starts; }

private:
    std::vector<Start> starts;
};

} // namespace lentiljunction
