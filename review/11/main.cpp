#include "../common-3/Site.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>

using namespace lentiljunction;
using review::BackendGroup;
using review::Caller;
using review::Record;
using review::Site;

namespace {

constexpr std::chrono::milliseconds calm { 4000 };
/// How long a draining backend continues to serve: drain_ms and a little longer.
constexpr std::chrono::milliseconds drainTime { 7300 };
/// How long a replica receives nothing, and how long a crashed primary is down.
constexpr std::chrono::milliseconds deafTime { 6500 };
constexpr std::chrono::milliseconds crashTime { 7000 };
constexpr std::chrono::milliseconds deafAfter { 3500 };
constexpr std::chrono::milliseconds crashAfterEnd { 300 };
/// From the end of the old backend until the new one at its address has its log and registers: addr_reuse_s and a start.
constexpr std::chrono::milliseconds replacementTime { 4000 };
/// Three ping intervals.
constexpr std::chrono::milliseconds entryLifetime { 3600 };
constexpr std::chrono::milliseconds aftermath { 6000 };
constexpr std::chrono::milliseconds pause { 20 };
constexpr std::size_t numInstances = 3;
constexpr std::size_t numCallers = 6;

/// What callers were told, and what was promoted.
struct History {
    std::mutex mutex;
    std::set<std::string> acknowledged;
    std::size_t numSent = 0;
    /// Acknowledged items that a promoted backend lacked.
    std::set<std::string> lost;
    std::size_t numPromotions = 0;
};

void call(Site& site, History& history, Record& record, std::size_t number, const std::atomic<bool>& isStopped)
{
    std::unique_ptr<Caller> caller;
    for (std::size_t sent = 0; !isStopped; sent++) {
        if (caller == nullptr || !caller->isOpen())
            caller = std::make_unique<Caller>(site.getSessionEndpoint(number % numInstances), "lepu270");
        std::string item = "w" + std::to_string(number) + "-" + std::to_string(sent);
        std::string response = caller->execute(item, "WRITE " + item + " v");
        {
            std::lock_guard<std::mutex> lock(history.mutex);
            history.numSent++;
            if (review::isServed(response))
                history.acknowledged.insert(item);
        }
        record.write("caller " + std::to_string(number) + ": WRITE " + item + " -> " + (response.empty() ? "no answer" : response));
        std::this_thread::sleep_for(pause);
    }
}

void onPromoted(History& history, Record& record, const std::string& id, std::uint64_t term, const std::vector<review::LogEntry>& log)
{
    std::set<std::string> held;
    for (const review::LogEntry& entry : log) {
        for (const std::pair<const std::string, std::string>& write : entry.writes)
            held.insert(write.first);
    }
    std::lock_guard<std::mutex> lock(history.mutex);
    std::vector<std::string> lost;
    std::set_difference(history.acknowledged.begin(), history.acknowledged.end(), held.begin(), held.end(), std::back_inserter(lost));
    history.numPromotions++;
    history.lost.insert(lost.begin(), lost.end());
    record.write("backend " + id + " leads term " + std::to_string(term) + " with " + std::to_string(log.size()) + " commits; acknowledged commits that it lacks: " + std::to_string(lost.size()));
    for (const std::string& item : lost)
        record.write("  lost: " + item);
}

/// Sleeps until a time after the start of the planned work.
class Schedule {
public:
    void sleepUntil(std::chrono::milliseconds time) const { std::this_thread::sleep_until(this->startedAt + time); }

private:
    std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
};

void play(Site& site, Record& record, bool hasTrouble)
{
    BackendGroup& backends = site.getBackends();
    Schedule schedule;
    record.write("plan: i-2, a replica, reports draining");
    backends.setDraining("i-2");
    site.report("i-2");
    schedule.sleepUntil(deafAfter);
    if (hasTrouble) {
        record.write("fault: i-3, the other replica, receives nothing for " + std::to_string(deafTime.count()) + " ms");
        backends.setDeaf("i-3", true);
    }
    schedule.sleepUntil(drainTime);
    record.write("plan: i-2 ends");
    BackendGroup::Backend old = backends.get("i-2");
    backends.end("i-2");
    site.remove("i-2");
    schedule.sleepUntil(drainTime + crashAfterEnd);
    if (hasTrouble) {
        record.write("fault: i-1, the primary, crashes for " + std::to_string(crashTime.count()) + " ms");
        backends.end("i-1");
    }
    schedule.sleepUntil(deafAfter + deafTime);
    backends.setDeaf("i-3", false);
    schedule.sleepUntil(drainTime + replacementTime);
    record.write("plan: i-4 starts at the address of i-2 with its log");
    backends.start("i-4", old.zone, old.host, old.port, backends.get("i-2").log);
    site.report("i-4");
    schedule.sleepUntil(drainTime + crashAfterEnd + entryLifetime);
    if (hasTrouble)
        site.remove("i-1");
    schedule.sleepUntil(drainTime + crashAfterEnd + crashTime);
    if (hasTrouble) {
        record.write("i-1 comes back with its log");
        backends.restart("i-1");
        site.report("i-1");
    }
    schedule.sleepUntil(drainTime + crashAfterEnd + crashTime + aftermath);
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int couldNotRun = 2;
    if (argc < 4)
        return couldNotRun;
    Record record(argv[3]);
    const char* trouble = std::getenv("TROUBLE");
    bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    History history;
    Site site(argv[1], argv[2], record, true);
    site.getBackends().setPromotionListener([&](const std::string& id, std::uint64_t term, const std::vector<review::LogEntry>& log) { onPromoted(history, record, id, term, log); });
    if (!site.start(numInstances)) {
        record.write("the site did not start");
        return couldNotRun;
    }
    std::this_thread::sleep_for(calm);
    std::atomic<bool> isStopped { false };
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < numCallers; number++)
        callers.emplace_back([&, number] { call(site, history, record, number, isStopped); });
    play(site, record, hasTrouble);
    isStopped = true;
    for (std::thread& caller : callers)
        caller.join();
    std::string summary = "sent " + std::to_string(history.numSent) + ", acknowledged " + std::to_string(history.acknowledged.size()) + ", promotions " + std::to_string(history.numPromotions) + ", acknowledged commits lost by promotions " + std::to_string(history.lost.size());
    record.write(summary);
    std::cout << (!history.lost.empty() ? "BROKEN LOST: " : "held: ") << summary << "\n";
    if (history.acknowledged.empty())
        return couldNotRun;
    return history.lost.empty() ? 0 : 1;
}
