// One entry of another writer among the servers makes the whole list unreadable: after all processes were killed and
// started again, none of them becomes ready and no request is served.

#include "../common/Database.h"
#include "../common/Machines.h"
#include "../common/Sockets.h"

#include <csignal>
#include <cstdlib>
#include <thread>

namespace {

using review::Milliseconds;
using review::SteadyClock;

/// As in the bounds of the small deployments.
constexpr Milliseconds recoveryBound { 12000 };
constexpr Milliseconds downTime { 1100 };
constexpr Milliseconds observedTime { 5000 };

/// @returns the entry as it stands in the store's list
std::string makeForeignEntry()
{
    const char* variable = std::getenv("TROUBLE");
    std::string variant = variable == nullptr ? "" : variable;
    std::string meta = R"({"name":"i-other","revision":2,"created_rev":2,"finalizers":[],"deletion_pending":false})";
    std::string begin = R"({"meta":)" + meta + R"(,"status":null,"spec":)";
    // A number that no double holds.
    if (variant == "number")
        return begin + R"({"service":"other","slots":1e400}})";
    // Bytes that are no text.
    return begin + "\"\xff\xfe\x80\"}";
}

struct Counts {
    int numSent = 0;
    int numServed = 0;
};

/// Sends requests to all machines in turn for some seconds.
Counts callAll(review::Record& record, review::Machines& machines, const std::vector<std::string>& names)
{
    constexpr Milliseconds pause { 20 };
    Counts counts;
    SteadyClock::time_point end = SteadyClock::now() + observedTime;
    while (SteadyClock::now() < end) {
        const std::string& name = names[static_cast<std::size_t>(counts.numSent) % names.size()];
        std::string id = "c-" + std::to_string(record.getElapsed());
        review::Caller caller(machines.getFrontPort(name), "booking", Milliseconds(2000));
        std::string answer = caller.isOpen() ? caller.execute(id, "READ a") : "";
        counts.numSent++;
        counts.numServed += review::isSigned(answer) ? 1 : 0;
        record.write("caller: " + name + " " + id + " READ a -> " + (caller.isOpen() ? answer : "no session"));
        std::this_thread::sleep_for(pause);
    }
    return counts;
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

    if (review::hasTrouble()) {
        platform.addForeignItem("servers", makeForeignEntry());
        record.write("store: the list of servers holds an entry of another writer");
    }
    std::this_thread::sleep_for(Milliseconds(3000));

    Counts before = callAll(record, machines, names);
    if (before.numServed < before.numSent / 2)
        review::finish(machines, folder, review::exitNotRun);
    if (review::hasTrouble()) {
        record.write("all processes are killed");
        for (const std::string& name : names)
            machines.signal(name, SIGKILL);
        std::this_thread::sleep_for(downTime);
        for (const std::string& name : names) {
            machines.isRunning(name);
            machines.start(name, false);
        }
    }
    std::this_thread::sleep_for(recoveryBound);
    for (const std::string& name : names)
        record.write(name + ": ready probe " + (machines.isReady(name) ? "200" : "not 200"));
    Counts after = callAll(record, machines, names);
    for (const std::string& name : names)
        machines.recordLog(name, { "name=entry_invalid", "name=store_call_failed" });
    record.write("before: " + std::to_string(before.numServed) + " of " + std::to_string(before.numSent) + " requests were served; later than " + std::to_string(recoveryBound.count()) + " ms after the machines were back: " + std::to_string(after.numServed) + " of " + std::to_string(after.numSent));
    bool isBroken = 4 * before.numServed >= before.numSent && 4 * after.numServed < after.numSent;
    review::finish(machines, folder, isBroken ? review::exitBroken : review::exitHeld);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return review::exitNotRun;
    run(argv[1]);
}
