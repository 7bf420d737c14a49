#include "Machines.h"

#include "Platform.h"
#include "Sockets.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

    constexpr const char* program = "target/lentiljunction";
    constexpr Milliseconds pollInterval { 20 };
    constexpr mode_t fileMode = 0644;

    std::string toAddress(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

} // namespace

Machines::Machines(Record& record, std::string folder)
    : record(record)
    , folder(std::move(folder))
{
}

Machines::~Machines()
{
    this->stopAll();
}

void Machines::add(const MachinePlan& plan)
{
    this->machines[plan.name] = { plan, reservePort(), reservePort(), reservePort(), reservePort(), reservePort(), 0 };
}

std::string Machines::writeSettings(const Machine& machine, bool isFirstStart)
{
    std::string seeds;
    int numSeeds = 0;
    for (const std::pair<const std::string, Machine>& other : this->machines) {
        if (numSeeds++ < 3)
            seeds += (seeds.empty() ? "" : ",") + toAddress(other.second.controlPort);
    }
    std::string path = this->folder + "/" + machine.plan.name + ".ini";
    std::ofstream(path) << "[instance]\nid = " << machine.plan.name << "\nzone = " << machine.plan.zone << "\n\n[sessions]\nlisten = " << toAddress(machine.frontPort)
                        << "\n\n[ready]\nlisten = " << toAddress(machine.readyPort) << "\n\n[peers]\nlisten = " << toAddress(machine.controlPort) << "\nseeds = " << seeds
                        << "\n\n[lending]\nlisten = " << toAddress(machine.internalPort) << "\n\n[metrics]\nlisten = " << toAddress(machine.metricsPort)
                        << "\n\n[store]\nendpoint = " << toAddress(machine.plan.storePort) << "\nfirst_start = " << (isFirstStart ? "true" : "false")
                        << "\n\n[promotion]\nendpoint = " << toAddress(machine.plan.promotionPort) << "\n\n[drain]\ngrace_s = 6\n";
    return path;
}

bool Machines::start(const std::string& name, bool isFirstStart)
{
    Machine& machine = this->machines.at(name);
    std::string settings = this->writeSettings(machine, isFirstStart);
    std::string log = this->folder + "/" + name + ".log";
    std::vector<std::string> words { program, "serve", "--settings", settings };
    std::vector<char*> arguments;
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::string variable = "LENTILJUNCTION_CONFIG=" + settings;
    std::vector<char*> environment { variable.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_CREAT | O_WRONLY | O_APPEND, fileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    bool isStarted = ::posix_spawn(&machine.process, program, &actions, nullptr, arguments.data(), environment.data()) == 0;
    posix_spawn_file_actions_destroy(&actions);
    if (!isStarted)
        machine.process = 0;
    this->record.write(name + ": started, process " + std::to_string(machine.process));
    return isStarted;
}

void Machines::signal(const std::string& name, int number)
{
    Machine& machine = this->machines.at(name);
    if (machine.process > 0)
        ::kill(machine.process, number);
}

bool Machines::isRunning(const std::string& name)
{
    Machine& machine = this->machines.at(name);
    if (machine.process <= 0)
        return false;
    int status = 0;
    if (::waitpid(machine.process, &status, WNOHANG) == 0)
        return true;
    machine.process = 0;
    this->record.write(name + ": ended, " + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "exit code " + std::to_string(WEXITSTATUS(status))));
    return false;
}

bool Machines::isReady(const std::string& name) const
{
    return getHttpStatus(this->machines.at(name).readyPort, "/readiness") == 200;
}

bool Machines::waitUntilReady(const std::vector<std::string>& names, Milliseconds timeout)
{
    SteadyClock::time_point end = SteadyClock::now() + timeout;
    for (const std::string& name : names) {
        while (!this->isReady(name)) {
            if (SteadyClock::now() > end)
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

std::size_t Machines::countLogLines(const std::string& name, const std::string& text) const
{
    std::ifstream log(this->folder + "/" + name + ".log");
    std::size_t number = 0;
    for (std::string line; std::getline(log, line);)
        number += line.find(text) != std::string::npos ? 1 : 0;
    return number;
}

bool Machines::waitForNextLogLine(const std::string& name, const std::string& text, Milliseconds timeout)
{
    SteadyClock::time_point end = SteadyClock::now() + timeout;
    std::size_t before = this->countLogLines(name, text);
    while (SteadyClock::now() < end) {
        if (this->countLogLines(name, text) > before)
            return true;
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return false;
}

void Machines::recordLog(const std::string& name, const std::vector<std::string>& texts)
{
    std::ifstream log(this->folder + "/" + name + ".log");
    for (std::string line; std::getline(log, line);) {
        bool isWanted = std::any_of(texts.begin(), texts.end(), [&line](const std::string& text) { return line.find(text) != std::string::npos; });
        if (isWanted)
            this->record.write("log of " + name + ": " + line);
    }
}

void Machines::stopAll()
{
    for (std::pair<const std::string, Machine>& machine : this->machines) {
        if (machine.second.process <= 0)
            continue;
        ::kill(machine.second.process, SIGKILL);
        int status = 0;
        ::waitpid(machine.second.process, &status, 0);
        machine.second.process = 0;
    }
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    const char* created = ::mkdtemp(pattern.data());
    this->path = created == nullptr ? "" : created;
}

TemporaryFolder::~TemporaryFolder()
{
    this->remove();
}

void TemporaryFolder::remove()
{
    std::error_code ignored;
    if (!this->path.empty())
        std::filesystem::remove_all(this->path, ignored);
}

Caller::Caller(std::uint16_t port, const std::string& database, Milliseconds timeout)
    : descriptor(connectToLoopback(port, timeout))
{
    if (this->descriptor >= 0 && sendAll(this->descriptor, "STARTUP " + database + " caller\r\n"))
        this->isSessionOpen = this->readAnswer().rfind("READY", 0) == 0;
}

Caller::~Caller()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
}

std::string Caller::execute(const std::string& id, const std::string& text)
{
    if (this->descriptor < 0 || !sendAll(this->descriptor, "QUERY " + id + " " + text + "\r\n"))
        return "";
    return this->readAnswer();
}

std::string Caller::readAnswer()
{
    std::string answer;
    std::string line;
    while (takeLine(this->descriptor, this->buffer, line)) {
        answer += (answer.empty() ? "" : "|") + line;
        if (line.rfind("READY", 0) == 0)
            break;
    }
    return answer;
}

bool isComplete(const std::string& answer)
{
    return answer.rfind("READY ", 0) == 0 || answer.find("|READY ") != std::string::npos;
}

bool isSigned(const std::string& answer)
{
    return isComplete(answer) && answer.find("DONE sig.") != std::string::npos;
}

std::string makeConfiguration(std::uint64_t version, const std::string& service, int maximumConnections, int syncReplicas)
{
    nlohmann::json routes = nlohmann::json::array();
    routes.push_back({ { "name", "r-1" }, { "host", "confirm" }, { "path_prefix", "/" }, { "route_type", "primary" }, { "timeout_ms", 800 }, { "target_latency_ms", 120 }, { "priority", 0 }, { "service", service }, { "attempts", 2 } });
    routes.push_back({ { "name", "r-2" }, { "host", "booking" }, { "path_prefix", "/" }, { "route_type", "read_your_writes" }, { "timeout_ms", 800 }, { "target_latency_ms", 250 }, { "priority", 1 }, { "service", service }, { "attempts", 2 }, { "max_staleness_ms", 2500 } });
    routes.push_back({ { "name", "r-3" }, { "host", "lookup" }, { "path_prefix", "/" }, { "route_type", "bounded_staleness" }, { "timeout_ms", 1200 }, { "target_latency_ms", 600 }, { "priority", 2 }, { "service", service }, { "attempts", 2 }, { "max_staleness_ms", 1500 } });
    nlohmann::json services = nlohmann::json::array();
    services.push_back({ { "name", service }, { "health_path", "/health" }, { "max_conns", maximumConnections }, { "protocol", "h1" }, { "tls", false }, { "sync_replicas", syncReplicas } });
    nlohmann::json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 }, { "tx_idle_ms", 3000 } };
    return nlohmann::json { { "version", version }, { "routes", routes }, { "services", services }, { "limits", limits } }.dump();
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void finish(Machines& machines, TemporaryFolder& folder, int code)
{
    machines.stopAll();
    folder.remove();
    std::_Exit(code);
}

void limitRunTime(Machines& machines, TemporaryFolder& folder, Record& record, std::chrono::seconds limit)
{
    std::thread([&machines, &folder, &record, limit] {
        std::this_thread::sleep_for(limit);
        record.write("the case took too long");
        finish(machines, folder, exitNotRun);
    }).detach();
}

} // namespace review
