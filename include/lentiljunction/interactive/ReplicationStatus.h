#pragma once

#include "lentiljunction/session/TermHistory.h"

namespace lentiljunction {

/// What an upstream answers when it is asked for its part in the group.
struct ReplicationStatus {
    bool isPrimary = false;
    Term term;
    /// The last entry that it received, applied or not.
    LogPoint received;
};

} // namespace lentiljunction
