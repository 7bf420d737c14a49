#pragma once

#include "lentiljunction/core/Ids.h"

#include <string>

namespace lentiljunction {

/// What a caller's statement asks for.
enum class SessionVerb {
    Begin,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Malformed,
};

/// Whether a statement only reads.
enum class AccessMode {
    Read,
    Write,
};

/// One statement of a caller's session, decoded.
struct SessionStatement {
    /// The caller's number of the statement; passed to the upstream as it is.
    RequestId id;
    SessionVerb verb = SessionVerb::Malformed;
    /// For Begin and Prepare.
    AccessMode mode = AccessMode::Write;
    /// For SetValue the name of the value, for Prepare, Execute and Deallocate that of the statement.
    std::string name;
    /// For SetValue the value, for Prepare the shape, for Execute the arguments.
    std::string argument;
    /// The text as the caller sent it.
    std::string text;
};

/// The statement behind a prepared name.
struct PreparedShape {
    AccessMode mode = AccessMode::Read;
    std::string shape;

    friend bool operator==(const PreparedShape& left, const PreparedShape& right)
    {
        return left.mode == right.mode && left.shape == right.shape;
    }
};

/// The transaction state of a session, or of a connection to an upstream.
enum class TransactionState {
    Idle,
    Open,
    /// A statement failed; only the end of the transaction is accepted.
    Failed,
};

} // namespace lentiljunction
