#include "lentiljunction/leadership/SuspicionTracker.h"

#include "lentiljunction/leadership/TakeoverVote.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Older reports do not count. Covers two intervals between the checks of an unreachable primary.
    constexpr std::chrono::milliseconds reportLifetime { 1500 };

} // namespace

void SuspicionTracker::report(const UpstreamId& primary, const InstanceId& reporter, TimePoint now)
{
    this->reports[primary][reporter] = now;
}

std::size_t SuspicionTracker::countReporters(const UpstreamId& primary, TimePoint now) const
{
    std::map<UpstreamId, std::map<InstanceId, TimePoint>>::const_iterator found = this->reports.find(primary);
    if (found == this->reports.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), [now](const std::pair<const InstanceId, TimePoint>& report) {
        return now - report.second <= reportLifetime;
    }));
}

bool SuspicionTracker::mustReplace(const UpstreamId& primary, std::size_t numInstances, TimePoint now) const
{
    return this->countReporters(primary, now) >= getRequiredReporters(numInstances);
}

} // namespace lentiljunction
