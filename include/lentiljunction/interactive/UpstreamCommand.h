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
        /// A caller's statement, unchanged.
        Forward,
        /// A caller's prepared statement, under its name on the connection.
        Execute,
        Rollback,
        /// Requests role, term and log position.
        Status,
        /// Stops replication to a replica until it is promoted or resumed.
        Pause,
        Resume,
        /// Makes the primary of an earlier term a replica.
        Demote,
    };

    Kind kind = Kind::Reset;
    /// For Forward and Execute; empty for the proxy's own commands.
    RequestId id;
    /// For SetValue, Prepare and Execute.
    std::string name;
    /// The value for SetValue, the shape for Prepare, the arguments for Execute, the text for Forward.
    std::string argument;
    /// For Begin and Prepare.
    AccessMode mode = AccessMode::Write;
    /// For reads and Begin: the log point that the upstream must have reached.
    std::optional<LogPoint> requiredPoint;
    /// For Pause and Demote: a term above that of the upstream.
    Term term;
};

} // namespace lentiljunction
