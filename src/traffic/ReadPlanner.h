#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/session/TermHistory.h"

#include <optional>
#include <vector>

namespace lentiljunction {

/// An upstream that could serve a read.
struct ReadCandidate {
    UpstreamId upstream;
    bool isLocal = false;
    bool isPrimary = false;
    /// Whether a connection is open and free.
    bool hasIdleConnection = true;
    /// The usual time from a grant to the answer.
    Duration latency { 0 };
    /// Statements under way and waiting, per slot.
    double load = 0;
    /// How long ago a log position was last seen, and which.
    std::optional<LogPoint> lastKnownHead;
    Duration lastKnownHeadAge { 0 };
};

/// Chooses the upstream that is expected to answer first.
///
/// A replica that was just seen behind the required point is expected to take longer by its lag. The
/// primary is charged a little, because writes have no other place to go; another availability zone
/// is charged for the bytes that cross between zones, and a connection that has to be opened first for
/// what that takes. So an instance stays with few upstreams, and the upstreams with few connections.
///
/// @param required the point that the log must reach, or nothing
/// @returns the choice, or nothing without candidates
std::optional<UpstreamId> chooseReadTarget(const std::vector<ReadCandidate>& candidates, const std::optional<LogPoint>& required);

} // namespace lentiljunction
