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
    /// Whether it is in the availability zone of this instance.
    bool isLocal = false;
    bool isPrimary = false;
    /// Whether a connection is open and free.
    bool hasIdleConnection = true;
    /// The expected time from the grant of a connection to the answer.
    Duration latency { 0 };
    /// Running and queued statements per slot.
    double load = 0;
    /// The last known log head, and how long ago it was reported.
    std::optional<LogPoint> lastKnownHead;
    Duration lastKnownHeadAge { 0 };
};

/// Chooses the upstream with the lowest estimated completion time.
///
/// Penalties are added to the estimate: for a replica whose last known head is behind the required point,
/// for the primary, because writes can only run there, for traffic between availability zones, and for a
/// connection that has to be opened first. As a result an instance uses few upstreams, and each upstream
/// serves few connections.
///
/// @param required the point that the upstream's log must reach, or nothing
/// @returns the chosen upstream, or nothing without candidates
std::optional<UpstreamId> chooseReadTarget(const std::vector<ReadCandidate>& candidates, const std::optional<LogPoint>& required);

} // namespace lentiljunction
