#pragma once

#include "lentiljunction/quota/QuotaLimit.h"

#include <map>

namespace lentiljunction {

/// What an instance decided on the operations of limited workspaces, for metrics.
struct QuotaCounts {
    std::uint64_t numAdmitted = 0;
    std::uint64_t numRefused = 0;
    std::uint64_t numUndecided = 0;
    std::size_t numWaiting = 0;
    /// The number of partitions that are delegated.
    std::size_t numDelegated = 0;
    /// Refused operations, for a bounded number of workspaces.
    std::map<WorkspaceId, std::uint64_t> numRefusedOf;

    /// Counts a decision.
    ///
    /// @returns the decision
    QuotaDecision count(const WorkspaceId& workspace, const QuotaDecision& decision);
};

} // namespace lentiljunction
