#include "ReadPlanner.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Writes and reads with Consistency::Primary can only run on the primary. Other reads use it only when
    /// every replica has a backlog of about three slow reads of 20 ms.
    constexpr std::chrono::milliseconds primaryPenalty { 60 };
    /// Weighs the cost of traffic between zones against an answer that comes some milliseconds sooner.
    constexpr std::chrono::milliseconds crossZonePenalty { 8 };
    /// Opening a connection takes about this long and occupies a slot of the upstream.
    constexpr std::chrono::milliseconds connectPenalty { 14 };
    /// Time for a lagging replica to catch up, or for a second attempt on another upstream.
    constexpr std::chrono::milliseconds lagPenalty { 25 };
    /// An older head is ignored: replicas catch up within tens of milliseconds.
    constexpr std::chrono::milliseconds lastKnownHeadLifetime { 60 };

    bool isProbe(const ReadCandidate& candidate)
    {
        return candidate.isProbeDue && !candidate.isPrimary;
    }

} // namespace

ReadEstimate estimateRead(const ReadCandidate& candidate, const std::optional<LogPoint>& required)
{
    ReadEstimate estimate;
    estimate.work = Duration(static_cast<Duration::rep>(static_cast<double>(candidate.latency.count()) * (1 + candidate.load)));
    if (!candidate.hasIdleConnection)
        estimate.connect = connectPenalty;
    if (!candidate.isLocal)
        estimate.crossZone = crossZonePenalty;
    bool wasBehind = required && candidate.lastKnownHead && candidate.lastKnownHeadAge < lastKnownHeadLifetime && *candidate.lastKnownHead < *required;
    if (candidate.isPrimary)
        estimate.primary = primaryPenalty;
    else if (wasBehind)
        estimate.lag = lagPenalty;
    return estimate;
}

std::optional<UpstreamId> chooseReadTarget(const std::vector<ReadCandidate>& candidates, const std::optional<LogPoint>& required)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<ReadCandidate>::const_iterator best = std::min_element(candidates.begin(), candidates.end(), [&](const ReadCandidate& left, const ReadCandidate& right) {
        if (left.isAvoided != right.isAvoided)
            return right.isAvoided;
        if (isProbe(left) != isProbe(right))
            return isProbe(left);
        return estimateRead(left, required).getTotal() < estimateRead(right, required).getTotal();
    });
    return best->upstream;
}

} // namespace lentiljunction
