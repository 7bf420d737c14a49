#pragma once

#include "lentiljunction/interactive/SessionStatement.h"
#include "lentiljunction/session/TermHistory.h"

#include <optional>
#include <string>

namespace lentiljunction {

/// One message to an upstream.
struct UpstreamCommand {
    enum class Kind {
        /// Clears values and prepared statements.
        Reset,
        SetValue,
        Prepare,
        Begin,
        /// A caller's statement, word for word.
        Forward,
        /// A caller's prepared statement, under the name that it has on this connection.
        Execute,
        Rollback,
        /// Asks for role, term and log position.
        Status,
        /// Stops a replica from receiving until it is promoted or resumed.
        Pause,
        Resume,
        /// Makes a primary of a lower term a replica.
        Demote,
    };

    Kind kind = Kind::Reset;
    /// For Forward and Execute; commands of the proxy itself have none.
    RequestId id;
    /// For SetValue, Prepare and Execute.
    std::string name;
    /// For SetValue the value, for Prepare the shape, for Execute the arguments, for Forward the text.
    std::string argument;
    /// For Begin and Prepare.
    AccessMode mode = AccessMode::Write;
    /// For reads and Begin: the point that the upstream's log must have reached.
    std::optional<LogPoint> requiredPoint;
    /// For Pause and Demote.
    Term term;
};

} // namespace lentiljunction
