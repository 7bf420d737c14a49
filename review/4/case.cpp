// One entry of another writer among the servers, whose fields are of another type, ends every process of the system, and
// each again after its restart.

#include "../common/Database.h"
#include "../common/Machines.h"
#include "../common/Sockets.h"

#include <atomic>
#include <map>
#include <thread>

namespace {

using review::Milliseconds;
using review::SteadyClock;

/// The entry takes 0.8 MB of the 1 MiB that an object may have.
constexpr std::size_t depth = 400000;
constexpr Milliseconds observedTime { 20000 };
constexpr Milliseconds restartDelay { 500 };
/// As the rule counts: processes that end by themselves three times, on two machines at least.
constexpr int countedEnds = 3;
constexpr int countedMachines = 2;

std::string makeForeignEntry()
{
    std::string meta = R"({"name":"i-other","revision":2,"created_rev":2,"finalizers":[],"deletion_pending":false})";
    return R"({"meta":)" + meta + R"(,"status":null,"spec":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
}

[[noreturn]] void run(const std::string& recordPath)
{
    review::Record record(recordPath);
    review::TemporaryFolder folder;
    review::Platform platform(record, Milliseconds(4));
    review::Database::Options options;
    review::Database database(record, platform, options);
    database.setWorkTime([](const std::string&, const std::string&) { return Milliseconds(9); });
    database.add("u1", "z1");
    database.add("u2", "z2");
    database.add("u3", "z3");
    platform.put("config", "main", nlohmann::json::parse(review::makeConfiguration(1, options.service, 16, 0)));
    std::uint16_t promotionPort = 0;
    int promotions = review::listenOnLoopback(promotionPort);
    platform.servePromotions(promotions, [&](const std::string&, const std::string& id, const std::string&, std::uint64_t) { return database.promote(id); });

    review::Machines machines(record, folder.getPath());
    review::limitRunTime(machines, folder, record, std::chrono::seconds(100));
    std::vector<std::string> names { "front-z1-1", "front-z2-1", "front-z3-1" };
    for (const std::string& name : names)
        machines.add({ name, name.substr(6, 2), platform.openStore(), promotionPort });
    for (const std::string& name : names) {
        if (!machines.start(name, true))
            review::finish(machines, folder, review::exitNotRun);
    }
    if (!machines.waitUntilReady(names, Milliseconds(20000)))
        review::finish(machines, folder, review::exitNotRun);
    std::this_thread::sleep_for(Milliseconds(2000));

    std::atomic<bool> isStopping { false };
    std::atomic<int> numServed { 0 };
    std::atomic<int> numUnanswered { 0 };
    std::vector<std::thread> callers;
    for (const std::string& name : names) {
        callers.emplace_back([&, name] {
            std::unique_ptr<review::Caller> caller;
            for (int number = 0; !isStopping; number++) {
                if (caller == nullptr)
                    caller = std::make_unique<review::Caller>(machines.getFrontPort(name), "booking", Milliseconds(2000));
                std::string answer = caller->execute(name + "-" + std::to_string(number), "READ a");
                numServed += review::isSigned(answer) ? 1 : 0;
                numUnanswered += review::isComplete(answer) ? 0 : 1;
                if (!review::isComplete(answer))
                    caller.reset();
                std::this_thread::sleep_for(Milliseconds(20));
            }
        });
    }
    std::this_thread::sleep_for(Milliseconds(2000));
    int numServedBefore = numServed;
    if (numServedBefore < 10)
        review::finish(machines, folder, review::exitNotRun);
    if (review::hasTrouble()) {
        std::string entry = makeForeignEntry();
        platform.addForeignItem("servers", entry);
        record.write("store: the list of servers holds an entry of another writer, " + std::to_string(entry.size()) + " bytes");
    }

    // The platform starts a process that ended again after a short delay.
    std::map<std::string, int> numEnds;
    SteadyClock::time_point end = SteadyClock::now() + observedTime;
    while (SteadyClock::now() < end) {
        for (const std::string& name : names) {
            if (machines.isRunning(name))
                continue;
            numEnds[name]++;
            std::this_thread::sleep_for(restartDelay);
            machines.start(name, false);
        }
        std::this_thread::sleep_for(Milliseconds(50));
    }
    isStopping = true;
    for (std::thread& caller : callers)
        caller.join();
    int numCounted = 0;
    for (const std::pair<const std::string, int>& ends : numEnds) {
        record.write(ends.first + ": ended by itself " + std::to_string(ends.second) + " times");
        numCounted += ends.second >= countedEnds ? 1 : 0;
    }
    record.write("requests served before " + std::to_string(numServedBefore) + ", since " + std::to_string(numServed - numServedBefore) + ", without an answer " + std::to_string(numUnanswered));
    review::finish(machines, folder, numCounted >= countedMachines ? review::exitBroken : review::exitHeld);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return review::exitNotRun;
    run(argv[1]);
}
