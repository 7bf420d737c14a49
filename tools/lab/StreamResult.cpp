#include "LoadGenerator.h"

#include <algorithm>

namespace lentiljunction::lab {

double StreamResult::getPercentile(double fraction, double fromMilliseconds, double toMilliseconds) const
{
    std::vector<double> latencies;
    for (const Completion& completion : this->completed) {
        if (completion.scheduledMilliseconds >= fromMilliseconds && completion.scheduledMilliseconds < toMilliseconds)
            latencies.push_back(completion.latencyMilliseconds);
    }
    if (latencies.empty())
        return 0;
    std::sort(latencies.begin(), latencies.end());
    std::size_t index = static_cast<std::size_t>(fraction * static_cast<double>(latencies.size() - 1) + 0.5);
    return latencies[index];
}

std::uint64_t StreamResult::countCompleted(double fromMilliseconds, double toMilliseconds) const
{
    return static_cast<std::uint64_t>(std::count_if(this->completed.begin(), this->completed.end(), [&](const Completion& completion) {
        return completion.scheduledMilliseconds >= fromMilliseconds && completion.scheduledMilliseconds < toMilliseconds;
    }));
}

double StreamResult::getLongestGap(double fromMilliseconds, double toMilliseconds) const
{
    std::vector<double> times { fromMilliseconds, toMilliseconds };
    for (const Completion& completion : this->completed) {
        double time = completion.scheduledMilliseconds + completion.latencyMilliseconds;
        if (time > fromMilliseconds && time < toMilliseconds)
            times.push_back(time);
    }
    std::sort(times.begin(), times.end());

    double longest = 0;
    for (std::size_t index = 1; index < times.size(); index++)
        longest = std::max(longest, times[index] - times[index - 1]);
    return longest;
}

} // namespace lentiljunction::lab
