#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/session/TermHistory.h"

#include <map>
#include <optional>
#include <string>

namespace lentiljunction {

/// What a caller's session has written or seen, per database.
///
/// Instances keep nothing: the caller carries the token from one answer to its next request, so
/// the next request may land anywhere.
///
/// @code
/// Failure failure;
/// std::optional<SessionToken> token = SessionToken::parse(text, failure);
/// token->advance(DatabaseId("returns-a"), { Term(3), Position(120) });
/// @endcode
class SessionToken {
public:
    /// Databases one token may hold. A session that needs more gets a clear error.
    static constexpr std::size_t maximumDatabases = 128;

    /// @param text a token from an earlier answer; empty for a new session
    /// @param failure says what is wrong with the text
    /// @returns the token, or nothing
    static std::optional<SessionToken> parse(const std::string& text, Failure& failure);

    /// @returns the token as text of letters, digits and "-_~."; empty when nothing was written or seen
    std::string toString() const;

    /// @returns the point that the database must cover, or nothing
    std::optional<LogPoint> find(const DatabaseId& database) const;

    /// Moves the token to a later point of a database; an earlier one changes nothing.
    void advance(const DatabaseId& database, LogPoint point);

    /// @returns how many databases the token holds
    std::size_t getNumDatabases() const { return this->points.size(); }

private:
    std::map<DatabaseId, LogPoint> points;
};

} // namespace lentiljunction
