// A fleet is reduced to fewer than half of its instances, the coordinator among those that leave. Then all processes are killed
// while the primary is lost for good.

#include "../common-2/ReviewSite.h"

#include <iostream>
#include <thread>

using namespace lentiljunction;

namespace {

constexpr int couldNotRun = 2;
constexpr int ruleBroken = 1;
constexpr std::size_t numInstances = 5;
constexpr std::size_t numLeft = 2;
constexpr std::chrono::milliseconds restartDelay { 500 };
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
    if (!site.start(numInstances))
        return couldNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(2));

    // Without the disruption, the same instances serve, and the others stay.
    std::size_t coordinator = site.findCoordinator();
    std::vector<std::size_t> left;
    std::vector<std::size_t> removed { coordinator };
    for (std::size_t index = 0; index < numInstances; index++) {
        if (index != coordinator)
            (left.size() < numLeft ? left : removed).push_back(index);
    }
    if (review::hasTrouble()) {
        for (std::size_t index : removed)
            site.remove(index);
    }
    review::ServedShare before = review::sendRequests(site, record, left, measuredTime);
    record.add("before the fault " + describe(before));
    if (before.isBelowQuarter())
        return couldNotRun;

    for (std::size_t index : left)
        site.kill(index);
    site.loseUpstream("u1");
    std::this_thread::sleep_for(restartDelay);
    for (std::size_t index : left)
        site.restart(index);
    record.add("the machines are back");
    std::this_thread::sleep_for(recoveryTime);
    review::ServedShare after = review::sendRequests(site, record, left, measuredTime);
    record.add(std::to_string(recoveryTime.count()) + " s after the machines were back " + describe(after));
    std::cout << "before: " << describe(before) << "; after: " << describe(after) << "\n";
    return after.isBelowQuarter() ? ruleBroken : 0;
}
