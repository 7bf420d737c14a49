#pragma once

#include "Record.h"

#include <cstdint>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// What the platform fills into deploy/node.ini for one machine, as far as the machines differ.
struct MachinePlan {
    std::string name;
    std::string zone;
    std::uint16_t storePort = 0;
    std::uint16_t promotionPort = 0;
};

/// The processes of the system, started with the command of the deploy file. Ends all of them when it is destroyed.
class Machines {
public:
    /// @param folder receives settings and logs
    Machines(Record& record, std::string folder);
    ~Machines();
    Machines(const Machines&) = delete;
    Machines& operator=(const Machines&) = delete;

    /// Reserves free ports for a machine.
    void add(const MachinePlan& plan);

    /// Starts a process.
    ///
    /// @param isFirstStart whether the whole system starts for the first time
    bool start(const std::string& name, bool isFirstStart);

    void signal(const std::string& name, int number);

    /// @returns whether the process still runs
    bool isRunning(const std::string& name);

    /// @returns whether each of the processes answered its ready probe with 200 in time
    bool waitUntilReady(const std::vector<std::string>& names, Milliseconds timeout);

    bool isReady(const std::string& name) const;
    std::uint16_t getFrontPort(const std::string& name) const { return this->machines.at(name).frontPort; }
    std::uint16_t getMetricsPort(const std::string& name) const { return this->machines.at(name).metricsPort; }

    /// Waits until a process logs another line that contains a text.
    ///
    /// @returns whether it did in time
    bool waitForNextLogLine(const std::string& name, const std::string& text, Milliseconds timeout);

    /// Copies the lines of a process's log that contain a text into the record.
    void recordLog(const std::string& name, const std::vector<std::string>& texts);

    /// Ends all processes.
    void stopAll();

private:
    struct Machine {
        MachinePlan plan;
        std::uint16_t frontPort = 0;
        std::uint16_t readyPort = 0;
        std::uint16_t controlPort = 0;
        std::uint16_t internalPort = 0;
        std::uint16_t metricsPort = 0;
        pid_t process = 0;
    };

    std::size_t countLogLines(const std::string& name, const std::string& text) const;
    std::string writeSettings(const Machine& machine, bool isFirstStart);

    Record& record;
    std::string folder;
    std::map<std::string, Machine> machines;
};

/// A folder that is removed at the end.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    const std::string& getPath() const { return this->path; }
    void remove();

private:
    std::string path;
};

/// A requester's session.
class Caller {
public:
    Caller(std::uint16_t port, const std::string& database, Milliseconds timeout);
    ~Caller();
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    /// @returns whether STARTUP was answered with READY
    bool isOpen() const { return this->isSessionOpen; }

    /// Sends a statement and waits for the answer.
    ///
    /// @returns the lines of the answer joined by "|"; incomplete when the connection ended
    std::string execute(const std::string& id, const std::string& text);

    int getDescriptor() const { return this->descriptor; }

private:
    std::string readAnswer();

    int descriptor = -1;
    bool isSessionOpen = false;
    std::string buffer;
};

/// @returns whether an answer ends with READY
bool isComplete(const std::string& answer);

/// @returns whether an answer is a success with a backend's signature
bool isSigned(const std::string& answer);

/// @returns the configuration for one service with three routes, like those of a small deployment
std::string makeConfiguration(std::uint64_t version, const std::string& service, int maximumConnections, int syncReplicas);

/// @returns whether the disruption is wanted: TROUBLE is not 0
bool hasTrouble();

/// Ends all processes with exit code 2 when the case takes too long.
void limitRunTime(Machines& machines, TemporaryFolder& folder, Record& record, std::chrono::seconds limit);

/// Ends the processes of the system and this one. Threads of the stand-ins still run, so no object is destroyed.
[[noreturn]] void finish(Machines& machines, TemporaryFolder& folder, int code);

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

} // namespace review
