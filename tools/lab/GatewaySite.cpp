#include "GatewaySite.h"

#include "Cluster.h"

#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <iterator>
#include <thread>

namespace lentiljunction::lab {

namespace {

    constexpr const char* loopback = "127.0.0.1";
    constexpr int numInstances = 3;
    constexpr int httpOk = 200;
    constexpr std::chrono::seconds readyTimeout { 20 };
    constexpr std::chrono::milliseconds pollInterval { 50 };

    std::uint16_t takePort()
    {
        return static_cast<std::uint16_t>(findFreePort());
    }

    /// @returns the number of times that the threads of a process waited
    std::uint64_t countWakeUps(pid_t process)
    {
        std::uint64_t number = 0;
        for (const std::filesystem::directory_entry& task : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task")) {
            std::ifstream status(task.path() / "status");
            for (std::string line; std::getline(status, line);) {
                if (line.rfind("voluntary_ctxt_switches:", 0) == 0)
                    number += std::stoull(line.substr(line.find(':') + 1));
            }
        }
        return number;
    }

    /// Counters of the kernel for a process since its start.
    struct ProcessUsage {
        double processorSeconds = 0;
        std::uint64_t numWakeUps = 0;
    };

    ProcessUsage readUsage(const Process& process)
    {
        return { process.getProcessorSeconds(), countWakeUps(process.getPid()) };
    }

} // namespace

GatewaySite::GatewaySite(std::string binaries, std::string folder, int numZones)
    : binaries(std::move(binaries))
    , folder(std::move(folder))
    , numZones(numZones)
    , site(takePort)
{
    std::filesystem::create_directories(this->folder);
}

std::string GatewaySite::writeSettings(int index, const Endpoint& store)
{
    std::string path = this->folder + "/front-" + std::to_string(index) + ".ini";
    std::vector<int> ports;
    std::ofstream settings(path);
    settings << "[instance]\nid = front-" << index << "\nzone = z" << index % this->numZones + 1;
    std::vector<std::string> sections { "sessions", "ready", "peers", "lending", "metrics" };
    if (this->hasQuotaPorts)
        sections.push_back("quota");
    for (const std::string& section : sections) {
        ports.push_back(findFreePort());
        settings << "\n[" << section << "]\nlisten = " << loopback << ":" << ports.back();
    }
    this->sessionPorts.push_back(ports.front());
    this->listeningPorts.push_back(ports);
    if (this->memoryLimit > 0)
        settings << "\n[limits]\nmemory = " << this->memoryLimit;
    settings << "\n[store]\nfirst_start = true\nendpoint = " << store.host << ":" << store.port
             << "\n[promotion]\nendpoint = " << store.host << ":" << store.port << "\n";
    return path;
}

std::unique_ptr<Process> GatewaySite::startProcess(std::size_t index)
{
    this->numStarts[index]++;
    // A log that an earlier run left in the folder would make hasLogged() true before the program runs.
    std::filesystem::remove(this->makeLogPath(index));
    std::string program = this->binaries + "/lentiljunction";
    if (this->descriptorLimit == 0)
        return std::make_unique<Process>(program, std::vector<std::string> { "serve", "--settings", this->settingsPaths[index] }, this->makeLogPath(index));
    std::string command = "ulimit -n " + std::to_string(this->descriptorLimit) + " && exec \"$0\" serve --settings \"$1\"";
    return std::make_unique<Process>("/bin/sh", std::vector<std::string> { "-c", command, program, this->settingsPaths[index] }, this->makeLogPath(index));
}

std::string GatewaySite::makeLogPath(std::size_t index) const
{
    // Each start writes to its own log file, so that the log of a killed process is kept.
    return this->folder + "/front-" + std::to_string(index + 1) + "." + std::to_string(this->numStarts[index]) + ".log";
}

bool GatewaySite::hasLogged(std::size_t index) const
{
    std::error_code error;
    std::uintmax_t size = std::filesystem::file_size(this->makeLogPath(index), error);
    return !error && size > 0;
}

void GatewaySite::restart(std::size_t index)
{
    std::unique_ptr<Process> started = this->startProcess(index);
    std::lock_guard<std::mutex> lock(this->processesMutex);
    this->processes[index] = std::move(started);
}

void GatewaySite::replace(std::size_t index)
{
    std::ifstream before(this->settingsPaths[index]);
    std::string settings((std::istreambuf_iterator<char>(before)), std::istreambuf_iterator<char>());
    before.close();
    std::size_t begin = settings.find("id = ");
    std::string name = "front-" + std::to_string(index + 1) + "-" + std::to_string(this->numStarts[index]);
    settings.replace(begin, settings.find('\n', begin) - begin, "id = " + name);
    std::ofstream(this->settingsPaths[index]) << settings;
    this->restart(index);
}

void GatewaySite::signal(std::size_t index, int number)
{
    std::lock_guard<std::mutex> lock(this->processesMutex);
    this->processes[index]->signal(number);
}

bool GatewaySite::isReady(std::size_t index) const
{
    constexpr std::size_t readyPort = 1;
    httplib::Client client(loopback, this->listeningPorts[index][readyPort]);
    httplib::Result result = client.Get("/");
    return result && result->status == httpOk;
}

bool GatewaySite::start(int number, Failure& failure)
{
    if (!this->site.start(failure))
        return false;
    this->site.configure(1, { "bookings", "checks" });
    for (int index = 1; index <= number; index++) {
        this->settingsPaths.push_back(this->writeSettings(index, this->site.openStorePort(failure)));
        this->numStarts.push_back(0);
        this->processes.push_back(this->startProcess(this->settingsPaths.size() - 1));
    }
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + readyTimeout;
    for (std::size_t index = 0; index < this->processes.size(); index++) {
        while (!this->isReady(index)) {
            if (std::chrono::steady_clock::now() > end) {
                failure.set(Failure::Kind::Unavailable, "an instance did not become ready; its log is in " + this->folder);
                return false;
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

bool runGatewaySite(const std::string& binaries, const std::string& folder)
{
    GatewaySite site(binaries, folder);
    Failure failure;
    if (!site.start(numInstances, failure)) {
        std::cerr << "error: " << failure.reason << "\n";
        return false;
    }
    for (int port : site.getSessionPorts())
        std::cout << "sessions at " << loopback << ":" << port << "\n";
    std::cout << "databases: bookings (primary), checks (read your writes); logs in " << folder << "\npress Enter to stop\n";
    std::cin.get();
    return true;
}

nlohmann::json measureIdleGateway(const std::string& binaries, const std::string& folder, int seconds)
{
    GatewaySite site(binaries, folder);
    Failure failure;
    if (!site.start(numInstances, failure))
        return { { "error", failure.reason } };
    std::this_thread::sleep_for(std::chrono::seconds(1));
    nlohmann::json report { { "seconds", seconds }, { "instances", nlohmann::json::array() } };
    std::vector<ProcessUsage> before;
    for (const std::unique_ptr<Process>& process : site.getProcesses())
        before.push_back(readUsage(*process));
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    for (std::size_t index = 0; index < before.size(); index++) {
        ProcessUsage after = readUsage(*site.getProcesses()[index]);
        report["instances"].push_back({ { "wake_ups_per_second", static_cast<double>(after.numWakeUps - before[index].numWakeUps) / seconds }, { "percent_of_a_core", 100 * (after.processorSeconds - before[index].processorSeconds) / seconds } });
    }
    return report;
}

} // namespace lentiljunction::lab
