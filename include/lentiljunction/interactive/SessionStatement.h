#pragma once

#include "lentiljunction/core/Ids.h"

#include <string>

namespace lentiljunction {

/// The kind of a caller's statement.
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

/// Whether a statement reads or may write.
enum class AccessMode {
    Read,
    Write,
};

/// One decoded statement of a caller's session.
struct SessionStatement {
    /// The caller's id of the statement; forwarded to the upstream unchanged.
    RequestId id;
    SessionVerb verb = SessionVerb::Malformed;
    /// For Begin and Prepare.
    AccessMode mode = AccessMode::Write;
    /// The name of the value for SetValue; the name of the prepared statement for Prepare, Execute and Deallocate.
    std::string name;
    /// The value for SetValue, the shape for Prepare, the arguments for Execute.
    std::string argument;
    /// The statement as the caller sent it.
    std::string text;
};

/// The statement behind a prepared name: its text without the arguments, called its shape, and its access mode.
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
    /// A statement failed; only commit and rollback are accepted.
    Failed,
};

} // namespace lentiljunction
