// One replica crashes after it alone has received the latest commits. The coordinator is restarted after the entry of that replica has
// expired, and then the primary crashes, while the other replica receives nothing.

#include "../../tools/lab/LineCaller.h"
#include "../common-2/DatabaseGroup.h"
#include "../common-2/ReviewSite.h"

#include <iostream>
#include <thread>

using namespace lentiljunction;

namespace {

constexpr int couldNotRun = 2;
constexpr int ruleBroken = 1;
constexpr int numWrites = 20;
/// Times after the crash of the replica. The doses are those of the small deployments: `srv_crash` for 7.0 s, and `replica_lag` with
/// "deaf crash" for 6.5 s.
constexpr std::chrono::milliseconds entryExpiredAt { 2600 };
constexpr std::chrono::milliseconds instanceBackAt { 3100 };
constexpr std::chrono::milliseconds primaryCrashedAt { 4000 };
constexpr std::chrono::milliseconds deafUntil { 6400 };
constexpr std::chrono::milliseconds replicaBackAt { 7000 };
constexpr std::chrono::milliseconds primaryBackAt { 11000 };
constexpr std::chrono::milliseconds observedUntil { 20000 };

std::vector<std::string> writeItems(review::Record& record, std::uint16_t port, const std::string& prefix)
{
    std::vector<std::string> acknowledged;
    for (int number = 0; number < numWrites; number++) {
        std::string item = prefix + std::to_string(number);
        lab::LineCaller caller(port, "bookings");
        std::string response = caller.execute("WRITE " + item + " v");
        record.add("WRITE " + item + " -> " + response);
        if (lab::isServed(response))
            acknowledged.push_back(item);
    }
    return acknowledged;
}

} // namespace

int main(int, char** arguments)
{
    review::Record record(std::string(arguments[1]) + "/record.txt");
    review::TemporaryFolder folder;
    review::ReviewSite site(folder.getPath(), record);
    review::DatabaseGroup group(record);
    site.getPlatform().setSynchronous();
    site.setGroup(group);
    if (!site.start(3))
        return couldNotRun;
    std::this_thread::sleep_for(std::chrono::seconds(3));
    std::vector<std::string> acknowledged = writeItems(record, site.getPort(0), "a");
    if (acknowledged.size() < numWrites / 2)
        return couldNotRun;

    if (review::hasTrouble()) {
        group.setDeaf("u3", true);
        std::vector<std::string> later = writeItems(record, site.getPort(1), "b");
        acknowledged.insert(acknowledged.end(), later.begin(), later.end());
        if (later.empty())
            return couldNotRun;
        std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
        group.crash("u2");
        std::this_thread::sleep_until(begin + entryExpiredAt);
        site.getPlatform().getStore().remove("servers", "u2");
        record.add("the entry of u2 has expired");
        std::size_t coordinator = site.findCoordinator();
        site.kill(coordinator);
        std::this_thread::sleep_until(begin + instanceBackAt);
        site.restart(coordinator);
        std::this_thread::sleep_until(begin + primaryCrashedAt);
        group.crash("u1");
        std::this_thread::sleep_until(begin + deafUntil);
        group.setDeaf("u3", false);
        std::this_thread::sleep_until(begin + replicaBackAt);
        group.restartWithLog("u2");
        std::this_thread::sleep_until(begin + primaryBackAt);
        group.restartWithLog("u1");
        std::this_thread::sleep_until(begin + observedUntil);
    }
    std::size_t numLost = 0;
    for (const std::string& item : acknowledged)
        numLost += group.findPrimaryLogAtPromotion().count(item) == 0 ? 1 : 0;
    record.add(std::to_string(numLost) + " of " + std::to_string(acknowledged.size()) + " acknowledged writes are not in the log of the primary");
    std::cout << numLost << " of " << acknowledged.size() << " acknowledged writes lost, promotions: " << group.getNumPromotions() << "\n";
    return numLost > 0 ? ruleBroken : 0;
}
