#include "StartCampaign.h"

#include "GatewaySite.h"
#include "lentiljunction/core/Random.h"

#include <arpa/inet.h>
#include <csignal>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace lentiljunction::lab {

namespace {

    using Fault = standin::PlatformStore::Fault;

    constexpr std::uint64_t maximumStartDelayMilliseconds = 300;
    constexpr std::uint64_t maximumDisturbanceMilliseconds = 1500;
    constexpr std::uint64_t maximumSignalPauseMilliseconds = 400;
    /// A process may not have handlers for signals yet.
    constexpr std::uint64_t maximumEarlyPauseMilliseconds = 20;
    constexpr std::chrono::seconds firstLineTimeout { 10 };
    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr std::chrono::seconds readyTimeout { 20 };
    /// More than the default grace period.
    constexpr std::chrono::seconds exitTimeout { 10 };
    constexpr int signalExitCodeBase = 128;
    const std::vector<Fault> storeFaults { Fault::Unavailable, Fault::TooManyRequests, Fault::Silent, Fault::DropsResponses, Fault::LateWrites };

    std::chrono::milliseconds drawTime(Random& random, std::uint64_t maximumMilliseconds)
    {
        return std::chrono::milliseconds(random.below(maximumMilliseconds + 1));
    }

    /// Holds a port of loopback as another process would.
    class HeldPort {
    public:
        explicit HeldPort(int port)
            : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
        {
            int enabled = 1;
            ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<std::uint16_t>(port));
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            bool isBound = ::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
            this->isListening = isBound && ::listen(this->descriptor, 1) == 0;
        }

        ~HeldPort() { ::close(this->descriptor); }
        HeldPort(const HeldPort&) = delete;
        HeldPort& operator=(const HeldPort&) = delete;

        bool isHeld() const { return this->isListening; }

    private:
        int descriptor;
        bool isListening = false;
    };

    /// Counts and violations of all instances. Thread-safe.
    class Tally {
    public:
        void count(const std::string& what)
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->counts[what]++;
        }

        void addViolation(const std::string& text)
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->violations.push_back(text);
        }

        nlohmann::json makeReport() const { return { { "counts", this->counts }, { "violations", this->violations } }; }

    private:
        std::mutex mutex;
        std::map<std::string, int> counts;
        std::vector<std::string> violations;
    };

    /// Starts, disturbs and ends one instance in one round.
    class InstanceRound {
    public:
        InstanceRound(GatewaySite& site, std::size_t index, int round, const StartPlan& plan, Tally& tally)
            : site(site)
            , index(index)
            , signalsWhileLoading(plan.signalsWhileLoading)
            , name("round " + std::to_string(round) + " instance " + std::to_string(index + 1))
            , random(plan.seed * 1000003 + static_cast<std::uint64_t>(round * plan.numInstances) + index)
            , tally(tally)
        {
        }

        /// @returns whether the process still runs and is ready once all disturbances are over
        bool start()
        {
            std::unique_ptr<HeldPort> held = this->holdPort();
            bool hasStoreFault = this->random.below(4) == 0;
            if (hasStoreFault)
                this->setStoreFault(storeFaults[this->random.below(storeFaults.size())]);
            std::this_thread::sleep_for(drawTime(this->random, maximumStartDelayMilliseconds));
            this->site.restart(this->index);
            this->tally.count("starts");
            this->disturb();
            held.reset();
            this->setStoreFault(Fault::None);
            return this->waitUntilReady();
        }

        void end()
        {
            Process& process = *this->site.getProcesses()[this->index];
            int signal = this->random.below(2) == 0 ? SIGKILL : SIGTERM;
            process.signal(signal);
            std::chrono::steady_clock::time_point timeout = std::chrono::steady_clock::now() + exitTimeout;
            while (process.isRunning() && std::chrono::steady_clock::now() < timeout)
                std::this_thread::sleep_for(pollInterval);
            if (process.isRunning())
                this->tally.addViolation("not stopped: " + this->name);
            process.signal(SIGKILL);
            int code = process.wait();
            this->tally.count((signal == SIGKILL ? "killed, code " : "stopped, code ") + std::to_string(code));
            if (code != (signal == SIGKILL ? signalExitCodeBase + SIGKILL : 0))
                this->tally.addViolation("unexpected end: " + this->name + " code " + std::to_string(code));
        }

    private:
        std::unique_ptr<HeldPort> holdPort()
        {
            if (this->random.below(4) != 0)
                return nullptr;
            const std::vector<int>& ports = this->site.getListeningPorts(this->index);
            this->heldPort = static_cast<int>(this->random.below(ports.size()));
            std::unique_ptr<HeldPort> held = std::make_unique<HeldPort>(ports[static_cast<std::size_t>(this->heldPort)]);
            this->tally.count(held->isHeld() ? "ports held" : "ports not held");
            return held;
        }

        void setStoreFault(Fault fault) { this->site.getSite().getStore().setPortFault(this->index, fault); }

        void disturb()
        {
            std::chrono::milliseconds duration = drawTime(this->random, maximumDisturbanceMilliseconds);
            std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + duration;
            if (!this->signalsWhileLoading)
                this->waitForFirstLine();
            this->hangUps = static_cast<int>(this->random.below(4));
            bool beginsEarly = this->random.below(4) == 0;
            for (int number = 0; number < this->hangUps; number++) {
                std::this_thread::sleep_for(drawTime(this->random, beginsEarly && number == 0 ? maximumEarlyPauseMilliseconds : maximumSignalPauseMilliseconds));
                this->site.signal(this->index, SIGHUP);
            }
            if (this->random.below(4) == 0) {
                this->site.signal(this->index, SIGSTOP);
                std::this_thread::sleep_for(drawTime(this->random, maximumSignalPauseMilliseconds));
                this->site.signal(this->index, SIGCONT);
            }
            std::this_thread::sleep_until(end);
        }

        void waitForFirstLine()
        {
            std::chrono::steady_clock::time_point timeout = std::chrono::steady_clock::now() + firstLineTimeout;
            while (!this->site.hasLogged(this->index) && std::chrono::steady_clock::now() < timeout)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }

        bool waitUntilReady()
        {
            std::chrono::steady_clock::time_point timeout = std::chrono::steady_clock::now() + readyTimeout;
            Process& process = *this->site.getProcesses()[this->index];
            while (process.isRunning()) {
                if (this->site.isReady(this->index)) {
                    this->tally.count("ready");
                    return true;
                }
                if (std::chrono::steady_clock::now() > timeout) {
                    this->tally.addViolation("not ready: " + this->name);
                    return true;
                }
                std::this_thread::sleep_for(pollInterval);
            }
            std::string how = "code " + std::to_string(process.wait()) + ", port held " + std::to_string(this->heldPort) + ", SIGHUP " + std::to_string(this->hangUps);
            this->tally.count("ended by itself, code " + std::to_string(process.wait()));
            this->tally.addViolation("ended by itself: " + this->name + " " + how);
            return false;
        }

        GatewaySite& site;
        std::size_t index;
        bool signalsWhileLoading;
        std::string name;
        Random random;
        Tally& tally;
        int heldPort = -1;
        int hangUps = 0;
    };

    void runRound(GatewaySite& site, const StartPlan& plan, int round, Tally& tally)
    {
        std::vector<std::unique_ptr<InstanceRound>> instances;
        for (int index = 0; index < plan.numInstances; index++)
            instances.push_back(std::make_unique<InstanceRound>(site, static_cast<std::size_t>(index), round, plan, tally));
        std::vector<char> isRunning(instances.size(), 0);
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < instances.size(); index++)
            threads.emplace_back([&, index] { isRunning[index] = instances[index]->start() ? 1 : 0; });
        for (std::thread& thread : threads)
            thread.join();
        threads.clear();
        for (std::size_t index = 0; index < instances.size(); index++) {
            if (isRunning[index] != 0)
                threads.emplace_back([&, index] { instances[index]->end(); });
        }
        for (std::thread& thread : threads)
            thread.join();
    }

} // namespace

nlohmann::json runStartCampaign(const StartPlan& plan, const std::string& binaries, const std::string& folder)
{
    GatewaySite site(binaries, folder);
    Failure failure;
    if (!site.start(plan.numInstances, failure))
        return { { "violations", { "not started: " + failure.reason } } };
    for (const std::unique_ptr<Process>& process : site.getProcesses()) {
        process->signal(SIGKILL);
        process->wait();
    }
    Tally tally;
    for (int round = 1; round <= plan.numRounds; round++)
        runRound(site, plan, round, tally);
    nlohmann::json report = tally.makeReport();
    report["seed"] = plan.seed;
    return report;
}

} // namespace lentiljunction::lab
