// An acknowledged commit is lost where the service has sync_replicas 1: the replica that received it does not answer for
// a few seconds when the primary crashes, and one that did not receive it is promoted.

#include "../common/Database.h"
#include "../common/Machines.h"
#include "../common/Sockets.h"
#include "../common/Writers.h"

#include <atomic>
#include <thread>

namespace {

using review::Milliseconds;

[[noreturn]] void run(const std::string& recordPath)
{
    review::Record record(recordPath);
    review::TemporaryFolder folder;
    review::Platform platform(record, Milliseconds(4));
    review::Database::Options options;
    options.syncReplicas = 1;
    review::Database database(record, platform, options);
    database.setWorkTime([](const std::string&, const std::string&) { return Milliseconds(3); });
    database.add("u1", "z1");
    database.add("u2", "z2");
    database.add("u3", "z3");
    platform.put("config", "main", nlohmann::json::parse(review::makeConfiguration(1, options.service, 16, options.syncReplicas)));

    std::uint16_t promotionPort = 0;
    int promotions = review::listenOnLoopback(promotionPort);
    std::atomic<bool> hasPromoted { false };
    platform.servePromotions(promotions, [&](const std::string&, const std::string& id, const std::string&, std::uint64_t) {
        hasPromoted = true;
        return database.promote(id);
    });

    review::Machines machines(record, folder.getPath());
    review::limitRunTime(machines, folder, record, std::chrono::seconds(100));
    std::vector<std::string> names { "front-z1-1", "front-z2-1", "front-z3-1" };
    for (std::size_t index = 0; index < names.size(); index++)
        machines.add({ names[index], "z" + std::to_string(index + 1), platform.openStore(), promotionPort });
    for (const std::string& name : names) {
        if (!machines.start(name, true))
            review::finish(machines, folder, review::exitNotRun);
    }
    if (!machines.waitUntilReady(names, Milliseconds(20000)))
        review::finish(machines, folder, review::exitNotRun);
    std::this_thread::sleep_for(Milliseconds(2000));

    std::vector<std::uint16_t> ports;
    for (const std::string& name : names)
        ports.push_back(machines.getFrontPort(name));
    review::Writers writers(record, ports);
    std::this_thread::sleep_for(Milliseconds(2000));
    if (writers.countAcknowledged() < 10)
        review::finish(machines, folder, review::exitNotRun);

    if (review::hasTrouble()) {
        // A replica receives nothing for a while, and the primary crashes meanwhile.
        database.setDeaf("u3", true);
        std::this_thread::sleep_for(Milliseconds(1500));
        // The other replica is cut off from the machines of the system for 5 s.
        database.setCutOff("u2", true);
        std::this_thread::sleep_for(Milliseconds(300));
        database.crash("u1");
        std::this_thread::sleep_for(Milliseconds(4700));
        database.setCutOff("u2", false);
        database.setDeaf("u3", false);
    }
    std::this_thread::sleep_for(Milliseconds(9000));
    std::vector<review::Acknowledged> acknowledged = writers.stop();

    std::string primary = database.findPrimary();
    std::size_t numLost = 0;
    for (const review::Acknowledged& commit : acknowledged) {
        if (primary.empty() || database.hasCommit(primary, commit.item))
            continue;
        numLost++;
        record.write("LOST: " + commit.item + ", acknowledged at " + std::to_string(commit.at) + " ms, is not in the log of " + primary);
    }
    for (const std::string& name : names)
        machines.recordLog(name, { "event=401 ", "event=402 ", "event=403 ", "event=413 ", "event=416 " });
    record.write("acknowledged " + std::to_string(acknowledged.size()) + ", lost " + std::to_string(numLost) + ", primary " + primary + ", promotion calls " + (hasPromoted ? "yes" : "no"));
    review::finish(machines, folder, numLost > 0 ? review::exitBroken : review::exitHeld);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return review::exitNotRun;
    run(argv[1]);
}
