#pragma once

#include "../../standins/platform/PlatformStore.h"
#include "../../tools/lab/Process.h"
#include "Backends.h"

#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lentiljunction::review {

/// Writes what was sent, answered and run to a file, with the seconds since the start.
class Record {
public:
    explicit Record(const std::string& path);

    void write(const std::string& text);

    /// @returns the seconds since the start
    double getSeconds() const;

private:
    std::chrono::steady_clock::time_point startedAt;
    std::mutex mutex;
    std::ofstream file;
};

/// A small deployment on loopback: instances started as the deploy file says, one group of backends, and the platform's store.
///
/// Each instance has a loopback address of its own, as its metrics port is fixed by the deploy file.
class Site {
public:
    /// @param root the repository
    /// @param folder for settings and logs
    Site(std::string root, std::string folder, Record& record, bool isSynchronous);
    ~Site();
    Site(const Site&) = delete;
    Site& operator=(const Site&) = delete;

    /// Starts three backends "i-1" to "i-3", of which the first one is the primary, the store and the instances.
    ///
    /// @returns whether all instances report that they are ready
    bool start(std::size_t numInstances);

    BackendGroup& getBackends() { return this->backends; }
    standin::PlatformStore& getStore() { return this->store; }

    /// @returns a loopback address that this site uses
    std::string makeHost(std::size_t number) const;

    std::size_t countInstances() const { return this->processes.size(); }
    const Endpoint& getSessionEndpoint(std::size_t instance) const { return this->sessionEndpoints[instance]; }

    /// @returns whether an instance holds the duty of changing primaries, according to its record in the store
    bool isHolder(std::size_t instance);

    /// Kills an instance with SIGKILL.
    void killInstance(std::size_t instance);

    /// Starts the instances again that have ended.
    void restartDead();

    /// Writes a configuration with further routes, as an operator does.
    ///
    /// @returns its size in bytes
    std::size_t configure(std::uint64_t version, std::size_t numFurtherRoutes);

    /// @returns the process of an instance
    lab::Process& getProcess(std::size_t instance) { return *this->processes[instance]; }

    /// Writes a backend's entry to the store now.
    void report(const std::string& id);

    /// Removes a backend's entry from the store.
    void remove(const std::string& id);

private:
    std::string makeSettings(std::size_t instance, const Endpoint& storeEndpoint) const;
    std::unique_ptr<lab::Process> startProcess(std::size_t instance) const;
    void reportAll();

    std::string root;
    std::string folder;
    Record& record;
    bool isSynchronous;
    unsigned network;
    EventLoop loop;
    standin::PlatformStore store;
    BackendGroup backends;
    std::vector<Endpoint> sessionEndpoints;
    std::vector<std::vector<std::uint16_t>> ports;
    std::vector<std::unique_ptr<lab::Process>> processes;
    std::atomic<bool> isStopping { false };
    std::thread reporter;
};

/// A caller's session in the line protocol.
class Caller {
public:
    Caller(const Endpoint& instance, const std::string& database);
    ~Caller();
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    bool isOpen() const { return this->descriptor >= 0; }

    /// @returns the lines of the complete response, joined by "|", or an empty text when there was none; then the session is closed
    std::string execute(const std::string& id, const std::string& text);

private:
    std::string readUntilReady();
    void close();

    int descriptor = -1;
    std::string buffer;
};

/// @returns whether a response is a success that a backend signed
bool isServed(const std::string& response);

} // namespace lentiljunction::review
