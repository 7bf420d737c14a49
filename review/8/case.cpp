// Each instance is replaced by a new one. Then all processes are killed while the primary is lost for good.

#include "../common-2/ReviewSite.h"

#include <iostream>
#include <thread>

using namespace lentiljunction;

namespace {

constexpr int couldNotRun = 2;
constexpr int ruleBroken = 1;
constexpr std::size_t numInstances = 3;
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

    std::vector<std::size_t> used { 0, 1, 2 };
    if (review::hasTrouble()) {
        for (std::size_t& index : used) {
            std::optional<std::size_t> added = site.addInstance();
            if (!added)
                return couldNotRun;
            site.remove(index);
            index = *added;
        }
    }
    review::ServedShare before = review::sendRequests(site, record, used, measuredTime);
    record.add("before the fault " + describe(before));
    if (before.isBelowQuarter())
        return couldNotRun;

    for (std::size_t index : used)
        site.kill(index);
    site.loseUpstream("u1");
    std::this_thread::sleep_for(restartDelay);
    for (std::size_t index : used)
        site.restart(index);
    record.add("the machines are back");
    std::this_thread::sleep_for(recoveryTime);
    review::ServedShare after = review::sendRequests(site, record, used, measuredTime);
    record.add(std::to_string(recoveryTime.count()) + " s after the machines were back " + describe(after));
    std::cout << "before: " << describe(before) << "; after: " << describe(after) << "\n";
    return after.isBelowQuarter() ? ruleBroken : 0;
}
