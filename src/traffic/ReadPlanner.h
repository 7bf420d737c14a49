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
    /// Whether it failed much of its work recently, so that it is the last choice.
    bool isAvoided = false;
    /// Whether it was ejected and the next read may probe it.
    bool isProbeDue = false;
};

/// The estimated completion time of a read at one upstream, by its parts.
struct ReadEstimate {
    /// The expected latency, increased by the load.
    Duration work { 0 };
    /// Penalty for a connection that has to be opened first.
    Duration connect { 0 };
    /// Penalty for the primary, because writes can only run there.
    Duration primary { 0 };
    /// Penalty for traffic between availability zones.
    Duration crossZone { 0 };
    /// Penalty for a replica whose last known head is behind the required point.
    Duration lag { 0 };

    Duration getTotal() const { return this->work + this->connect + this->primary + this->crossZone + this->lag; }
};

/// Why an upstream is no candidate for a statement.
enum class Exclusion {
    /// It stops soon.
    Leaving,
    /// The statement was already refused there.
    Tried,
    /// It could not be reached when it was last tried.
    Unreachable,
    /// The wait in its queue would exceed the deadline of the statement.
    TooLoaded,
    /// Only the primary may serve the read, because no freshness proof is recent enough.
    NoFreshnessProof,
    /// Only the primary may serve the statement.
    NotPrimary,
    /// It is the primary, but must not be used as such now.
    PrimaryNotUsable,
};

/// An upstream that is no candidate.
struct ExcludedUpstream {
    UpstreamId upstream;
    Exclusion exclusion = Exclusion::Leaving;
};

/// The upstreams that may serve a read, and the one chosen.
struct ReadPlan {
    /// Whether a freshness proof exists; without one only the primary may serve the read.
    bool hasProof = false;
    /// The log point that a replica must have reached.
    std::optional<LogPoint> required;
    std::vector<ReadCandidate> candidates;
    std::optional<UpstreamId> chosen;
};

/// @returns the estimate by which the upstreams are compared
ReadEstimate estimateRead(const ReadCandidate& candidate, const std::optional<LogPoint>& required);

/// Chooses the upstream with the lowest estimated completion time.
///
/// The penalties of the estimate let an instance use few upstreams, so that each upstream serves few connections.
/// Upstreams to avoid come after all others, and a replica whose probe is due comes first, since it would otherwise stay
/// ejected while others are faster.
///
/// @param required the point that the upstream's log must reach, or nothing
/// @returns the chosen upstream, or nothing without candidates
std::optional<UpstreamId> chooseReadTarget(const std::vector<ReadCandidate>& candidates, const std::optional<LogPoint>& required);

} // namespace lentiljunction
