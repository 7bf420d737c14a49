#include "ReadPlanner.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Writes and fresh reads have only the primary, so other reads leave it free until every replica
    /// has a backlog of about three of the slower reads, 20 ms each.
    constexpr std::chrono::milliseconds primaryPenalty { 60 };
    /// About what a crossing costs by its bytes against the worth of an answer some milliseconds sooner.
    constexpr std::chrono::milliseconds crossZonePenalty { 8 };
    /// A new connection takes about this long, and a slot of the upstream meanwhile.
    constexpr std::chrono::milliseconds connectPenalty { 14 };
    /// What a read waits, or a second try costs, at a replica that was just seen behind.
    constexpr std::chrono::milliseconds lagPenalty { 25 };
    /// A position seen longer ago says little: replicas follow within tens of milliseconds.
    constexpr std::chrono::milliseconds lastKnownHeadLifetime { 60 };

    Duration estimateCompletion(const ReadCandidate& candidate, const std::optional<LogPoint>& required)
    {
        Duration estimate(static_cast<Duration::rep>(static_cast<double>(candidate.latency.count()) * (1 + candidate.load)));
        if (!candidate.hasIdleConnection)
            estimate += connectPenalty;
        if (candidate.isPrimary)
            return estimate + primaryPenalty + (candidate.isLocal ? Duration(0) : Duration(crossZonePenalty));
        if (!candidate.isLocal)
            estimate += crossZonePenalty;
        bool wasBehind = required && candidate.lastKnownHead && candidate.lastKnownHeadAge < lastKnownHeadLifetime && *candidate.lastKnownHead < *required;
        return wasBehind ? estimate + lagPenalty : estimate;
    }

} // namespace

std::optional<UpstreamId> chooseReadTarget(const std::vector<ReadCandidate>& candidates, const std::optional<LogPoint>& required)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<ReadCandidate>::const_iterator best = std::min_element(candidates.begin(), candidates.end(), [&](const ReadCandidate& left, const ReadCandidate& right) {
        return estimateCompletion(left, required) < estimateCompletion(right, required);
    });
    return best->upstream;
}

} // namespace lentiljunction
