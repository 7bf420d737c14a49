#include "StopCampaign.h"

#include "GatewaySite.h"
#include "LineCaller.h"
#include "lentiljunction/core/Random.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace lentiljunction::lab {

namespace {

    using Time = std::chrono::steady_clock::time_point;

    constexpr int numCallers = 4;
    constexpr std::chrono::milliseconds loadBeforeStop { 300 };
    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr std::chrono::milliseconds callerPause { 5 };
    constexpr std::uint64_t maximumSignalPauseMilliseconds = 600;
    /// The default grace period and its first half.
    constexpr std::chrono::seconds grace { 5 };
    constexpr std::chrono::milliseconds firstHalf { 2500 };
    constexpr std::chrono::seconds exitTimeout { 10 };
    constexpr std::chrono::seconds readyTimeout { 20 };
    constexpr std::chrono::seconds responseTimeout { 10 };

    struct Counts {
        std::atomic<int> stops { 0 };
        std::atomic<int> signals { 0 };
        std::atomic<int> statements { 0 };
        std::atomic<int> answeredInDrain { 0 };
        std::atomic<int> closedBetweenStatements { 0 };
        std::atomic<int> cutInFirstHalf { 0 };
        std::atomic<int> cutLater { 0 };
        std::atomic<int> longestStopMilliseconds { 0 };
    };

    /// Uses one instance until its process is gone, each time with a new session after one was closed.
    class Load {
    public:
        Load(int port, Counts& counts)
            : port(static_cast<std::uint16_t>(port))
            , counts(counts)
        {
            for (int number = 0; number < numCallers; number++)
                this->threads.emplace_back([this, number] { this->run(number); });
        }

        ~Load()
        {
            this->isOver = true;
            for (std::thread& thread : this->threads)
                thread.join();
        }
        Load(const Load&) = delete;
        Load& operator=(const Load&) = delete;

        void markStop() { this->stopAt = std::chrono::steady_clock::now().time_since_epoch().count(); }

    private:
        void run(int number)
        {
            while (!this->isOver) {
                LineCaller caller(this->port, number % 2 == 0 ? "bookings" : "checks", responseTimeout);
                if (contains(caller.getStartupResponse(), "READY"))
                    this->useSession(caller, number);
                std::this_thread::sleep_for(callerPause);
            }
        }

        void useSession(LineCaller& caller, int number)
        {
            std::string key = " stop" + std::to_string(number);
            for (int count = 0; !this->isOver; count++) {
                std::string response = caller.execute(count % 2 == 0 ? "WRITE" + key + " " + std::to_string(count) : "READ" + key);
                this->counts.statements++;
                if (!contains(response, "READY"))
                    return this->countEnd(caller);
                if (this->stopAt != 0)
                    this->counts.answeredInDrain++;
                // A session that is closed after an answer is no cut-off statement.
                std::this_thread::sleep_for(callerPause);
                if (caller.isClosed()) {
                    this->counts.closedBetweenStatements++;
                    return;
                }
            }
        }

        void countEnd(const LineCaller& caller)
        {
            Time stopped { Time::duration(this->stopAt.load()) };
            bool isEarly = this->stopAt == 0 || caller.getSentAt() - stopped < firstHalf;
            (isEarly ? this->counts.cutInFirstHalf : this->counts.cutLater)++;
        }

        std::uint16_t port;
        Counts& counts;
        std::atomic<bool> isOver { false };
        std::atomic<Time::rep> stopAt { 0 };
        std::vector<std::thread> threads;
    };

    /// Checks the last line, and that no statement that the instance had read was left without an answer.
    void checkLog(const std::string& path, const std::string& name, std::vector<std::string>& violations)
    {
        std::ifstream stream(path);
        std::string last;
        bool isCutOff = false;
        for (std::string line; std::getline(stream, line); last = line)
            isCutOff = isCutOff || (contains(line, "event=103") && !contains(line, "cut_off=0"));
        if (isCutOff)
            violations.push_back("statements that were read are cut off: " + name);
        if (!contains(last, "event=120") || !contains(last, "cause=stopped"))
            violations.push_back("last line of " + name + ": " + last);
    }

    /// @returns the newest log of an instance
    std::string findLog(const std::string& folder, std::size_t index)
    {
        std::string prefix = "front-" + std::to_string(index + 1);
        std::filesystem::path newest;
        for (const std::filesystem::directory_entry& entry : std::filesystem::directory_iterator(folder)) {
            std::string name = entry.path().filename().string();
            bool isOfInstance = entry.path().extension() == ".log" && name.rfind(prefix, 0) == 0 && std::isdigit(static_cast<unsigned char>(name[prefix.size()])) == 0;
            if (isOfInstance && (newest.empty() || std::filesystem::last_write_time(entry.path()) > std::filesystem::last_write_time(newest)))
                newest = entry.path();
        }
        return newest.string();
    }

    /// Stops one instance under load and checks its end.
    void stopOnce(GatewaySite& site, const std::string& folder, std::size_t index, std::uint64_t seed, Counts& counts, std::vector<std::string>& violations)
    {
        Random random(seed);
        std::string name = "instance " + std::to_string(index + 1) + " seed " + std::to_string(seed);
        Load load(site.getSessionPorts()[index], counts);
        std::this_thread::sleep_for(loadBeforeStop);
        Process& process = *site.getProcesses()[index];
        load.markStop();
        Time begin = std::chrono::steady_clock::now();
        process.signal(random.below(4) == 0 ? SIGINT : SIGTERM);
        std::vector<int> further { SIGTERM, SIGHUP, SIGINT };
        for (std::uint64_t number = random.below(6); number > 0 && process.isRunning(); number--) {
            std::this_thread::sleep_for(std::chrono::milliseconds(random.below(maximumSignalPauseMilliseconds)));
            process.signal(further[random.below(further.size())]);
            counts.signals++;
        }
        while (process.isRunning() && std::chrono::steady_clock::now() - begin < exitTimeout)
            std::this_thread::sleep_for(pollInterval);
        int taken = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin).count());
        if (process.isRunning() || taken > std::chrono::milliseconds(grace).count() + 1000)
            violations.push_back("not stopped within its grace: " + name);
        process.signal(SIGKILL);
        int code = process.wait();
        counts.stops++;
        counts.longestStopMilliseconds = std::max(counts.longestStopMilliseconds.load(), taken);
        if (code != 0)
            violations.push_back("exit code " + std::to_string(code) + ": " + name);
        checkLog(findLog(folder, index), name, violations);
    }

    void runRound(GatewaySite& site, const std::string& folder, const StopPlan& plan, int round, Counts& counts, std::vector<std::string>& violations)
    {
        std::vector<std::thread> threads;
        std::vector<std::vector<std::string>> found(static_cast<std::size_t>(plan.numInstances));
        for (std::size_t index = 0; index < found.size(); index++)
            threads.emplace_back([&, index] { stopOnce(site, folder, index, plan.seed * 1000003 + static_cast<std::uint64_t>(round) * found.size() + index, counts, found[index]); });
        for (std::thread& thread : threads)
            thread.join();
        for (const std::vector<std::string>& of : found)
            violations.insert(violations.end(), of.begin(), of.end());
        Time timeout = std::chrono::steady_clock::now() + readyTimeout;
        for (std::size_t index = 0; index < found.size(); index++)
            site.restart(index);
        for (std::size_t index = 0; index < found.size(); index++) {
            while (!site.isReady(index) && std::chrono::steady_clock::now() < timeout)
                std::this_thread::sleep_for(pollInterval);
            if (!site.isReady(index))
                violations.push_back("not ready again: instance " + std::to_string(index + 1));
        }
    }

} // namespace

nlohmann::json runStopCampaign(const StopPlan& plan, const std::string& binaries, const std::string& folder)
{
    GatewaySite site(binaries, folder);
    Failure failure;
    if (!site.start(plan.numInstances, failure))
        return { { "violations", { "not started: " + failure.reason } } };
    Counts counts;
    std::vector<std::string> violations;
    for (int round = 1; round <= plan.numRounds; round++)
        runRound(site, folder, plan, round, counts, violations);
    if (counts.cutInFirstHalf > 0)
        violations.push_back("statements cut off in the first half of the grace period: " + std::to_string(counts.cutInFirstHalf));
    nlohmann::json counted { { "stops", counts.stops.load() }, { "further_signals", counts.signals.load() }, { "statements", counts.statements.load() }, { "answered_in_drain", counts.answeredInDrain.load() }, { "closed_between_statements", counts.closedBetweenStatements.load() }, { "cut_in_first_half", counts.cutInFirstHalf.load() }, { "cut_later", counts.cutLater.load() }, { "longest_stop_ms", counts.longestStopMilliseconds.load() } };
    return { { "seed", plan.seed }, { "counts", counted }, { "violations", violations } };
}

} // namespace lentiljunction::lab
