#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/session/TermHistory.h"

#include <map>
#include <optional>
#include <string>

namespace lentiljunction {

/// The latest log point that a caller's session has written or read, per database.
///
/// Instances store no session state: the caller sends the token of one response with its next request,
/// so that any instance can serve the next request.
///
/// @code
/// Failure failure;
/// std::optional<SessionToken> token = SessionToken::parse(text, failure);
/// token->advance(DatabaseId("returns-a"), { Term(3), Position(120) });
/// @endcode
class SessionToken {
public:
    /// The largest number of databases in a token. A session that needs more gets an error that says so.
    static constexpr std::size_t maximumDatabases = 128;

    /// @param text a token from an earlier response; empty for a new session
    /// @param failure receives the reason when the text is invalid
    /// @returns the token, or nothing
    static std::optional<SessionToken> parse(const std::string& text, Failure& failure);

    /// @returns the token as text of letters, digits and "-_~."; empty when nothing was written or read
    std::string toString() const;

    /// @returns the point that the log of the database must contain, or nothing
    std::optional<LogPoint> find(const DatabaseId& database) const;

    /// Advances the token to a later point of a database; an earlier point has no effect.
    void advance(const DatabaseId& database, LogPoint point);

    /// @returns the number of databases in the token
    std::size_t getNumDatabases() const { return this->points.size(); }

private:
    std::map<DatabaseId, LogPoint> points;
};

} // namespace lentiljunction
