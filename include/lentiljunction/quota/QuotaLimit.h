#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/workspaces/WorkspaceId.h"

#include <cstddef>
#include <cstdint>

namespace lentiljunction {

/// The limit of a workspace for the operations of all instances together.
struct QuotaLimit {
    WorkspaceId workspace;
    double ratePerSecond = 0;
    double burst = 0;
};

/// How exactly the limits are enforced: in any window, at most
/// (rate x window + burst) x (1 + overage) + slack operations of a workspace are admitted.
struct QuotaTolerance {
    std::chrono::milliseconds window { 5000 };
    double overage = 0.1;
    double slack = 20;
};

/// Whether an operation may be sent to an upstream.
struct QuotaDecision {
    enum class Kind {
        Admitted,
        /// The workspace is over its limit.
        Refused,
        /// No coordinator decided in time.
        Undecided,
    };

    Kind kind = Kind::Admitted;
    /// When a retry is worthwhile, unless the operation is admitted.
    Duration retryAfter { 0 };

    bool isAdmitted() const { return this->kind == Kind::Admitted; }
};

/// Workspaces are divided into this many partitions; each has its own coordinator in an availability zone.
constexpr std::size_t numQuotaPartitions = 4;

/// How long a delegation is valid, from the time at which it was sent.
constexpr std::chrono::milliseconds delegationDuration { 450 };

/// @returns the partition of a workspace; the same on all instances
std::size_t findQuotaPartition(const WorkspaceId& workspace);

} // namespace lentiljunction
