#include "lentiljunction/confirmation/FreshnessHistory.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace lentiljunction {

namespace {

    constexpr std::size_t maximumSamples = 512;

} // namespace

FreshnessHistory::FreshnessHistory(std::size_t majority)
    : majority(majority)
{
}

void FreshnessHistory::onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt)
{
    Report& report = this->reports[upstream];
    if (requestedAt < report.requestedAt)
        return;
    report = { status, requestedAt };

    const Report* primary = this->findPrimary();
    if (primary == nullptr)
        return;

    std::optional<TimePoint> time = this->findMajorityVerifiedTime(*primary);
    if (!time || (!this->samples.empty() && *time <= this->samples.back().time))
        return;

    this->samples.push_back({ *time, primary->status.head });
    if (this->samples.size() > maximumSamples)
        this->samples.pop_front();
}

std::optional<Duration> FreshnessHistory::getAge(const UpstreamStatus& status, TimePoint now) const
{
    for (std::deque<Sample>::const_reverse_iterator sample = this->samples.rbegin(); sample != this->samples.rend(); ++sample) {
        if (status.getCoverage(sample->point) == Coverage::Covered)
            return std::chrono::duration_cast<Duration>(now - sample->time);
    }
    return std::nullopt;
}

const FreshnessHistory::Report* FreshnessHistory::findPrimary() const
{
    const Report* primary = nullptr;
    for (const std::pair<const UpstreamId, Report>& entry : this->reports) {
        const Report& report = entry.second;
        bool isActivePrimary = report.status.isPrimary && report.status.fencedTerm == report.status.head.term;
        if (isActivePrimary && (primary == nullptr || primary->status.fencedTerm < report.status.fencedTerm))
            primary = &report;
    }
    return primary;
}

std::optional<TimePoint> FreshnessHistory::findMajorityVerifiedTime(const Report& primary) const
{
    std::vector<TimePoint> times;
    for (const std::pair<const UpstreamId, Report>& entry : this->reports) {
        if (entry.second.status.fencedTerm == primary.status.fencedTerm)
            times.push_back(entry.second.requestedAt);
    }
    if (times.size() < this->majority)
        return std::nullopt;

    std::sort(times.begin(), times.end(), std::greater<TimePoint>());
    return std::min(times[this->majority - 1], primary.requestedAt);
}

} // namespace lentiljunction
