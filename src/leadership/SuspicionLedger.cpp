#include "lentiljunction/leadership/SuspicionLedger.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// A report older than this is forgotten: two intervals between checks of a primary in trouble.
    constexpr std::chrono::milliseconds reportLifetime { 1500 };
    /// Replacing a primary costs every instance a gap of the same length as it spares those that are
    /// cut off, so a third of them must have lost it.
    constexpr std::size_t inverseShare = 3;
    constexpr std::size_t leastReporters = 2;

} // namespace

void SuspicionLedger::report(const UpstreamId& primary, const InstanceId& reporter, TimePoint now)
{
    this->reports[primary][reporter] = now;
}

std::size_t SuspicionLedger::countReporters(const UpstreamId& primary, TimePoint now) const
{
    std::map<UpstreamId, std::map<InstanceId, TimePoint>>::const_iterator found = this->reports.find(primary);
    if (found == this->reports.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), [now](const std::pair<const InstanceId, TimePoint>& report) {
        return now - report.second <= reportLifetime;
    }));
}

bool SuspicionLedger::mustReplace(const UpstreamId& primary, std::size_t numInstances, bool isConfirmed, TimePoint now) const
{
    std::size_t numReporters = this->countReporters(primary, now);
    if (isConfirmed && numReporters > 0)
        return true;
    std::size_t needed = std::max(leastReporters, (numInstances + inverseShare - 1) / inverseShare);
    return numReporters >= needed;
}

} // namespace lentiljunction
