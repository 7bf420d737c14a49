// A process that starts after the store was restored from a copy without the last failover serves reads from replicas that
// are seconds behind: it lowers the freshness proofs that it has from the present primary to the log head at the promotion.

#include "../common/Database.h"
#include "../common/Machines.h"
#include "../common/Sockets.h"
#include "../common/Writers.h"

#include <atomic>
#include <csignal>
#include <map>
#include <thread>

namespace {

using review::Milliseconds;
using review::SteadyClock;

/// What a read may lack on a bounded_staleness route: commits that were acknowledged later than this before it.
constexpr std::int64_t maximumStaleness = 1500;
constexpr Milliseconds normalDelay { 8 };
/// While replicas fall behind: 8 ms, 150 times as late at most 7.2 s.
constexpr Milliseconds laggingDelay { 4000 };

/// Requesters that read one after the other and note when each read was sent.
class Readers {
public:
    Readers(review::Record& record, const std::vector<std::uint16_t>& ports)
    {
        for (std::size_t index = 0; index < ports.size(); index++)
            this->threads.emplace_back([this, &record, port = ports[index], index] { this->run(record, port, index); });
    }

    std::map<std::string, std::int64_t> stop()
    {
        this->isStopping = true;
        for (std::thread& thread : this->threads)
            thread.join();
        return this->sentAt;
    }

private:
    void run(review::Record& record, std::uint16_t port, std::size_t index)
    {
        constexpr Milliseconds pause { 20 };
        std::unique_ptr<review::Caller> caller;
        for (int number = 0; !this->isStopping; number++) {
            std::this_thread::sleep_for(pause);
            if (caller == nullptr || !caller->isOpen())
                caller = std::make_unique<review::Caller>(port, "lookup", Milliseconds(3000));
            if (!caller->isOpen())
                continue;
            std::string id = "r" + std::to_string(index) + "-" + std::to_string(number);
            {
                std::lock_guard<std::mutex> lock(this->mutex);
                this->sentAt[id] = record.getElapsed();
            }
            std::string answer = caller->execute(id, "READ a");
            if (review::isSigned(answer)) {
                record.write("caller: READ " + id + " -> " + answer);
                continue;
            }
            // Only reads that were answered with success count.
            std::lock_guard<std::mutex> lock(this->mutex);
            this->sentAt.erase(id);
            if (!review::isComplete(answer))
                caller.reset();
        }
    }

    std::vector<std::thread> threads;
    std::mutex mutex;
    std::map<std::string, std::int64_t> sentAt;
    std::atomic<bool> isStopping { false };
};

[[noreturn]] void run(const std::string& recordPath)
{
    review::Record record(recordPath);
    review::TemporaryFolder folder;
    review::Platform platform(record, Milliseconds(4));
    review::Database::Options options;
    options.promoteTime = Milliseconds(300);
    options.networkDelay = normalDelay;
    review::Database database(record, platform, options);
    database.setWorkTime([](const std::string&, const std::string&) { return Milliseconds(4); });
    database.add("u1", "z1");
    database.add("u2", "z2");
    database.add("u3", "z3");
    platform.put("config", "main", nlohmann::json::parse(review::makeConfiguration(1, options.service, 30, 0)));
    std::uint16_t promotionPort = 0;
    int promotions = review::listenOnLoopback(promotionPort);
    platform.servePromotions(promotions, [&](const std::string&, const std::string& id, const std::string&, std::uint64_t) { return database.promote(id); });

    review::Machines machines(record, folder.getPath());
    review::limitRunTime(machines, folder, record, std::chrono::seconds(110));
    std::vector<std::string> names { "front-z1-1", "front-z1-2", "front-z2-1", "front-z2-2", "front-z3-1", "front-z3-2" };
    std::vector<std::uint16_t> ports;
    for (const std::string& name : names) {
        machines.add({ name, name.substr(6, 2), platform.openStore(), promotionPort });
        ports.push_back(machines.getFrontPort(name));
    }
    // The first one creates the record of primaries. It is not the one that starts again when the store is back.
    const std::string first = "front-z2-2";
    bool isStarted = machines.start(first, true);
    std::this_thread::sleep_for(Milliseconds(250));
    for (const std::string& name : names)
        isStarted = isStarted && (name == first || machines.start(name, true));
    if (!isStarted)
        review::finish(machines, folder, review::exitNotRun);
    if (!machines.waitUntilReady(names, Milliseconds(20000)))
        review::finish(machines, folder, review::exitNotRun);
    std::this_thread::sleep_for(Milliseconds(2000));
    review::Writers writers(record, ports);
    Readers readers(record, ports);

    // Planned work in both runs: all machines are stopped and started in turn, and the primary is replaced.
    std::atomic<bool> isRolling { true };
    SteadyClock::time_point beganAt = SteadyClock::now();
    std::thread roll([&] {
        for (std::size_t index = 0; index < names.size(); index++) {
            std::this_thread::sleep_until(beganAt + Milliseconds(1500) + Milliseconds(2000) * static_cast<int>(index));
            const std::string& name = names[index];
            machines.signal(name, SIGTERM);
            record.write(name + ": SIGTERM");
            SteadyClock::time_point killAt = SteadyClock::now() + Milliseconds(6000);
            while (machines.isRunning(name) && SteadyClock::now() < killAt)
                std::this_thread::sleep_for(Milliseconds(20));
            machines.signal(name, SIGKILL);
            while (machines.isRunning(name))
                std::this_thread::sleep_for(Milliseconds(20));
            std::this_thread::sleep_for(Milliseconds(500));
            machines.start(name, false);
        }
        isRolling = false;
    });
    platform.saveCopy();
    database.add("u4", "z1");
    std::this_thread::sleep_until(beganAt + Milliseconds(300));
    database.drain("u1");
    std::this_thread::sleep_until(beganAt + Milliseconds(4500));
    if (review::hasTrouble()) {
        record.write("replicas fall behind");
        database.setReplicationDelay(laggingDelay);
        platform.restoreCopy(Milliseconds(2500));
    }
    std::this_thread::sleep_until(beganAt + Milliseconds(11500));
    record.write("replicas catch up");
    database.setReplicationDelay(normalDelay);
    roll.join();
    std::this_thread::sleep_for(Milliseconds(6000));
    std::map<std::string, std::int64_t> sentAt = readers.stop();
    std::vector<review::Acknowledged> acknowledged = writers.stop();

    std::string primary = database.findPrimary();
    // The greatest number of all commits that were acknowledged by each time.
    std::map<std::int64_t, std::size_t> numberAt;
    for (const review::Acknowledged& commit : acknowledged) {
        std::size_t number = database.findNumber(primary, commit.item);
        numberAt[commit.at] = std::max(numberAt[commit.at], number);
    }
    std::size_t greatest = 0;
    for (std::pair<const std::int64_t, std::size_t>& entry : numberAt) {
        greatest = std::max(greatest, entry.second);
        entry.second = greatest;
    }
    int numReads = 0;
    int numStale = 0;
    for (const review::Database::ReadRun& read : database.listReads()) {
        std::map<std::string, std::int64_t>::const_iterator sent = sentAt.find(read.id);
        if (sent == sentAt.end())
            continue;
        numReads++;
        std::map<std::int64_t, std::size_t>::const_iterator later = numberAt.lower_bound(sent->second - maximumStaleness);
        if (later == numberAt.begin())
            continue;
        std::size_t required = std::prev(later)->second;
        if (read.logSize >= required)
            continue;
        numStale++;
        record.write("STALE: read " + read.id + ", sent at " + std::to_string(sent->second) + " ms, ran at " + read.backend + " whose log had " + std::to_string(read.logSize) + " commits; number " + std::to_string(required) + " was acknowledged more than " + std::to_string(maximumStaleness) + " ms before");
    }
    for (const std::string& name : names)
        machines.recordLog(name, { "event=402 ", "event=403 ", "event=416 ", "event=417 ", "event=418 ", "event=410 " });
    record.write("reads " + std::to_string(numReads) + ", stale " + std::to_string(numStale) + ", acknowledged writes " + std::to_string(acknowledged.size()) + ", primary " + primary);
    if (numReads < 100 || primary.empty() || primary == "u1")
        review::finish(machines, folder, review::exitNotRun);
    review::finish(machines, folder, numStale > 0 ? review::exitBroken : review::exitHeld);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return review::exitNotRun;
    run(argv[1]);
}
