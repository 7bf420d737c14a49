#include "PortFuzzer.h"

#include "FuzzConnection.h"
#include "FuzzInput.h"
#include "GatewaySite.h"
#include "LineCaller.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace lentiljunction::lab {

namespace {

    constexpr int numInstances = 2;
    /// Of the callers that are not fuzzed, which stay within the limit of their workspace.
    constexpr const char* key = "alpha-key";
    constexpr const char* fuzzedKey = "beta-key";
    constexpr std::chrono::milliseconds callerPause { 10 };
    constexpr std::chrono::seconds callerTimeout { 10 };
    constexpr std::chrono::seconds readyTimeout { 20 };
    constexpr std::chrono::seconds settleTime { 2 };
    constexpr std::chrono::seconds measuredTime { 2 };
    constexpr std::chrono::milliseconds pollInterval { 50 };
    /// Connections of each port that stay open after their input.
    constexpr std::size_t mostOpenConnections = 8;
    constexpr double mostCores = 0.9;
    /// The memory of the smallest machine.
    constexpr std::size_t mostMemoryKibibytes = 160 * 1024;

    /// Counts and violations of all threads. Thread-safe.
    class FuzzReport {
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

        nlohmann::json toJson() const { return { { "counts", this->counts }, { "violations", this->violations } }; }

    private:
        std::mutex mutex;
        std::map<std::string, int> counts;
        std::vector<std::string> violations;
    };

    /// A port of the fuzzed instance.
    struct FuzzedPort {
        const char* name;
        FuzzedProtocol protocol;
    };

    /// In the order of GatewaySite::getListeningPorts().
    const std::vector<FuzzedPort> fuzzedPorts {
        { "sessions", FuzzedProtocol::Lines },
        { "readiness", FuzzedProtocol::Http },
        { "peers", FuzzedProtocol::Peers },
        { "lending", FuzzedProtocol::Lending },
        { "metrics", FuzzedProtocol::Http },
        { "quota", FuzzedProtocol::Quota },
    };

    /// Sends inputs to one port until it is stopped. Connections that stay open are closed by the destructor.
    class PortSender {
    public:
        PortSender(std::size_t index, int port, std::uint64_t seed, FuzzReport& report)
            : name(fuzzedPorts[index].name)
            , port(port)
            , random(seed * fuzzedPorts.size() + index)
            , input(fuzzedPorts[index].protocol, this->random.bits(), fuzzedKey)
            , report(report)
        {
        }

        void run(const std::atomic<bool>& isStopping)
        {
            while (!isStopping) {
                this->sendInput();
                this->report.count(this->name);
            }
        }

    private:
        void sendInput()
        {
            std::unique_ptr<FuzzConnection> connection = std::make_unique<FuzzConnection>(this->port);
            connection->send(this->input.make(), this->random);
            if (this->random.below(4) != 0)
                connection->drain();
            if (this->random.below(3) == 0)
                connection->resetAtEnd();
            if (this->random.below(5) != 0)
                return;
            this->openConnections.push_back(std::move(connection));
            if (this->openConnections.size() > mostOpenConnections)
                this->openConnections.pop_front();
        }

        std::string name;
        int port;
        Random random;
        FuzzInput input;
        FuzzReport& report;
        std::deque<std::unique_ptr<FuzzConnection>> openConnections;
    };

    /// Writes its own item and reads it back until it is stopped.
    class FaithfulCaller {
    public:
        FaithfulCaller(int number, int port, standin::LineGroup& group, FuzzReport& report)
            : item("own-" + std::to_string(number))
            , port(port)
            , group(group)
            , report(report)
        {
        }

        void run(const std::atomic<bool>& isStopping)
        {
            while (!isStopping) {
                if (this->session == nullptr)
                    this->session = std::make_unique<LineCaller>(static_cast<std::uint16_t>(this->port), "bookings", callerTimeout, key);
                this->step();
                std::this_thread::sleep_for(callerPause);
            }
        }

    private:
        void step()
        {
            std::uint64_t term = this->group.findHighestTerm();
            this->numWrites++;
            std::string value = this->makeValue(this->numWrites);
            if (!this->execute("WRITE " + this->item + " " + value))
                return;
            std::optional<std::string> response = this->execute("READ " + this->item);
            // Reports of a failed primary may be valid among the inputs, and its last commits may not have reached the next one.
            if (response && *response != value && this->group.findHighestTerm() == term)
                this->report.addViolation("wrong row: " + this->item + " is " + value + ", got " + *response);
        }

        std::string makeValue(int number) const { return this->item + "-value-" + std::to_string(number); }

        /// @returns the row of a successful response, empty when it has none; nothing after an error
        std::optional<std::string> execute(const std::string& text)
        {
            std::string response = this->session->execute(text);
            if (this->session->hasTimedOut())
                this->report.addViolation("no response to " + text);
            if (!contains(response, "READY"))
                this->session.reset();
            bool isSuccess = isServed(response);
            this->report.count(isSuccess ? "caller served" : "caller not served: " + response.substr(0, response.find(' ', std::string("ERR ").size())));
            if (!isSuccess)
                return std::nullopt;
            return response.rfind("ROW ", 0) == 0 ? response.substr(4, response.find('|') - 4) : "";
        }

        std::string item;
        int port;
        standin::LineGroup& group;
        FuzzReport& report;
        std::unique_ptr<LineCaller> session;
        int numWrites = 0;
    };

    /// Runs one fuzzed site.
    class PortFuzzer {
    public:
        PortFuzzer(const FuzzPlan& plan, const std::string& binaries, const std::string& folder)
            : plan(plan)
            , site(binaries, folder)
        {
        }

        nlohmann::json run()
        {
            this->site.openQuotaPorts();
            this->site.getSite().setWorkspaces({ { "alpha", { key } }, { "beta", { fuzzedKey } } });
            Failure failure;
            if (!this->site.start(numInstances, failure))
                return { { "violations", { "not started: " + failure.reason } } };
            for (std::size_t index = 0; index < fuzzedPorts.size(); index++)
                this->senders.push_back(std::make_unique<PortSender>(index, this->site.getListeningPorts(0)[index], this->plan.seed, this->report));
            for (int index = 0; index < numInstances; index++)
                this->callers.push_back(std::make_unique<FaithfulCaller>(index + 1, this->site.getSessionPorts()[static_cast<std::size_t>(index)], this->site.getSite().getGroup(), this->report));
            this->fuzz();
            this->checkProcesses();
            nlohmann::json result = this->report.toJson();
            result["seed"] = this->plan.seed;
            result["peak_memory_kib"] = this->peakMemory;
            result["cores_afterwards"] = this->cores;
            return result;
        }

    private:
        void fuzz()
        {
            std::atomic<bool> isStopping { false };
            std::vector<std::thread> threads;
            for (const std::unique_ptr<PortSender>& sender : this->senders)
                threads.emplace_back([&sender, &isStopping] { sender->run(isStopping); });
            for (const std::unique_ptr<FaithfulCaller>& caller : this->callers)
                threads.emplace_back([&caller, &isStopping] { caller->run(isStopping); });
            std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + this->plan.duration;
            while (std::chrono::steady_clock::now() < end && this->areAllRunning())
                std::this_thread::sleep_for(pollInterval);
            isStopping = true;
            for (std::thread& thread : threads)
                thread.join();
        }

        bool areAllRunning()
        {
            for (const std::unique_ptr<Process>& process : this->site.getProcesses()) {
                if (!process->isRunning())
                    return false;
            }
            return true;
        }

        void checkProcesses()
        {
            for (std::size_t index = 0; index < this->site.getProcesses().size(); index++) {
                Process& process = *this->site.getProcesses()[index];
                if (!process.isRunning())
                    this->report.addViolation("ended by itself: instance " + std::to_string(index + 1) + " code " + std::to_string(process.wait()));
            }
            if (!this->areAllRunning())
                return;
            this->checkUsage();
            this->senders.clear();
            for (std::size_t index = 0; index < this->site.getProcesses().size(); index++)
                this->checkReady(index);
        }

        void checkUsage()
        {
            std::this_thread::sleep_for(settleTime);
            std::vector<double> before;
            for (const std::unique_ptr<Process>& process : this->site.getProcesses())
                before.push_back(process->getProcessorSeconds());
            std::this_thread::sleep_for(measuredTime);
            for (std::size_t index = 0; index < before.size(); index++) {
                const Process& process = *this->site.getProcesses()[index];
                this->cores.push_back((process.getProcessorSeconds() - before[index]) / std::chrono::duration<double>(measuredTime).count());
                this->peakMemory.push_back(process.getPeakMemoryKibibytes());
                if (this->cores.back() > mostCores)
                    this->report.addViolation("busy without input: instance " + std::to_string(index + 1));
                if (this->peakMemory.back() > mostMemoryKibibytes)
                    this->report.addViolation("memory: instance " + std::to_string(index + 1) + " used " + std::to_string(this->peakMemory.back()) + " KiB");
            }
        }

        void checkReady(std::size_t index)
        {
            std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + readyTimeout;
            while (std::chrono::steady_clock::now() < end) {
                LineCaller caller(static_cast<std::uint16_t>(this->site.getSessionPorts()[index]), "bookings", callerTimeout, key);
                if (this->site.isReady(index) && isServed(caller.execute("WRITE last v")))
                    return;
                std::this_thread::sleep_for(pollInterval);
            }
            this->report.addViolation("not ready or not serving afterwards: instance " + std::to_string(index + 1));
        }

        FuzzPlan plan;
        GatewaySite site;
        FuzzReport report;
        std::vector<std::unique_ptr<PortSender>> senders;
        std::vector<std::unique_ptr<FaithfulCaller>> callers;
        std::vector<std::size_t> peakMemory;
        std::vector<double> cores;
    };

} // namespace

nlohmann::json fuzzPorts(const FuzzPlan& plan, const std::string& binaries, const std::string& folder)
{
    return PortFuzzer(plan, binaries, folder).run();
}

} // namespace lentiljunction::lab
