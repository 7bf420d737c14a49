#pragma once

#include "lentiljunction/session/TermHistory.h"

namespace lentiljunction {

/// The role, term and log position that an upstream reports.
struct ReplicationStatus {
    bool isPrimary = false;
    Term term;
    /// The last received log entry, whether applied or not.
    LogPoint received;
};

} // namespace lentiljunction
