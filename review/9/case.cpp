// All instances lose power while the first primary of a group, which was never replaced, is lost for good.

#include "../common-2/ReviewSite.h"

#include <iostream>
#include <thread>

using namespace lentiljunction;

namespace {

constexpr int couldNotRun = 2;
constexpr int ruleBroken = 1;
/// As long as a single machine is dark on the standard days.
constexpr std::chrono::milliseconds darkTime { 3500 };
/// `recovery_s` of the small deployments.
constexpr std::chrono::seconds recoveryTime { 12 };
constexpr std::chrono::seconds measuredTime { 6 };

std::string describe(const review::ServedShare& share)
{
    return std::to_string(share.numServed) + " of " + std::to_string(share.numSent) + " requests were served";
}

} // namespace

int main(int, char** arguments)
{
    review::Record record(std::string(arguments[1]) + "/record.txt");
    review::TemporaryFolder folder;
    review::ReviewSite site(folder.getPath(), record);
    if (!site.start(3))
        return couldNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const std::vector<std::size_t> all { 0, 1, 2 };
    review::ServedShare before = review::sendRequests(site, record, all, measuredTime);
    record.add("before the fault " + describe(before));
    if (before.isBelowQuarter())
        return couldNotRun;

    if (review::hasTrouble()) {
        for (std::size_t index : all)
            site.kill(index);
        site.loseUpstream("u1");
        std::this_thread::sleep_for(darkTime);
        for (std::size_t index : all)
            site.restart(index);
    }
    record.add("the machines are back");
    std::this_thread::sleep_for(recoveryTime);
    review::ServedShare after = review::sendRequests(site, record, all, measuredTime);
    record.add(std::to_string(recoveryTime.count()) + " s after the machines were back " + describe(after));
    std::cout << "before: " << describe(before) << "; after: " << describe(after) << "\n";
    return after.isBelowQuarter() ? ruleBroken : 0;
}
