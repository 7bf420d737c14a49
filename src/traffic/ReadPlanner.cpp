#include "ReadPlanner.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Writes and fresh reads have only the primary, so other reads leave it free until every replica
    /// has a backlog of about three of the slower reads, 20 ms each.
    constexpr std::chrono::milliseconds primaryCharge { 60 };
    /// About what a crossing costs by its bytes against the worth of an answer some milliseconds sooner.
    constexpr std::chrono::milliseconds crossingCharge { 8 };
    /// A new connection takes about this long, and a slot of the upstream meanwhile.
    constexpr std::chrono::milliseconds openingCharge { 14 };
    /// What a read waits, or a second try costs, at a replica that was just seen behind.
    constexpr std::chrono::milliseconds behindCharge { 25 };
    /// A position seen longer ago says little: replicas follow within tens of milliseconds.
    constexpr std::chrono::milliseconds seenLifetime { 60 };

    Duration estimateFinish(const ReadCandidate& candidate, const std::optional<LogPoint>& required)
    {
        Duration estimate(static_cast<Duration::rep>(static_cast<double>(candidate.latency.count()) * (1 + candidate.load)));
        if (!candidate.hasIdleConnection)
            estimate += openingCharge;
        if (candidate.isPrimary)
            return estimate + primaryCharge + (candidate.isLocal ? Duration(0) : Duration(crossingCharge));
        if (!candidate.isLocal)
            estimate += crossingCharge;
        bool wasBehind = required && candidate.lastKnownHead && candidate.lastKnownHeadAge < seenLifetime && *candidate.lastKnownHead < *required;
        return wasBehind ? estimate + behindCharge : estimate;
    }

} // namespace

std::optional<UpstreamId> chooseReadTarget(const std::vector<ReadCandidate>& candidates, const std::optional<LogPoint>& required)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<ReadCandidate>::const_iterator best = std::min_element(candidates.begin(), candidates.end(), [&](const ReadCandidate& left, const ReadCandidate& right) {
        return estimateFinish(left, required) < estimateFinish(right, required);
    });
    return best->upstream;
}

} // namespace lentiljunction
