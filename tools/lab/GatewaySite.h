#pragma once

#include "../../standins/platform/PlatformSite.h"
#include "Process.h"

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// Runs gateway instances in their own processes, with the stand-ins of the users' platform in this process.
///
/// @see standin::PlatformSite
class GatewaySite {
public:
    /// @param binaries folder of the executables
    /// @param folder folder for settings and logs; created when missing
    /// @param numZones the number of availability zones over which the instances are spread
    GatewaySite(std::string binaries, std::string folder, int numZones = 3);

    /// Starts the stand-ins and the instances and waits until all instances are ready. Each instance has its
    /// own port of the store, so that the store can fail for one instance only.
    ///
    /// @returns whether all instances became ready; the failure says why not
    bool start(int numInstances, Failure& failure);

    /// Limits the file descriptors of processes that are started later.
    void setDescriptorLimit(int limit) { this->descriptorLimit = limit; }

    /// Opens a port for quotas on processes that are started later; the last one of getListeningPorts().
    void openQuotaPorts() { this->hasQuotaPorts = true; }

    /// Sets the memory in MiB within which instances that are started later keep their callers.
    void setMemoryLimit(int limit) { this->memoryLimit = limit; }

    /// @returns the port for caller sessions of each instance
    const std::vector<int>& getSessionPorts() const { return this->sessionPorts; }

    /// @returns the ports on which an instance listens, those for callers first
    const std::vector<int>& getListeningPorts(std::size_t index) const { return this->listeningPorts[index]; }

    /// @returns whether an instance answers its readiness probe with 200
    bool isReady(std::size_t index) const;

    /// @returns whether the present process of an instance has written to its log
    bool hasLogged(std::size_t index) const;

    /// Starts a new process for an instance whose process has ended.
    void restart(std::size_t index);

    /// Starts another instance in the place of one that has ended: with an id of its own, at the same addresses.
    void replace(std::size_t index);

    /// Sends a signal to the present process of an instance. Safe to call from any thread, also beside restart().
    void signal(std::size_t index, int number);

    /// @returns the stand-ins of the users' platform
    standin::PlatformSite& getSite() { return this->site; }

    /// @returns the processes of the instances, in the order of the session ports
    const std::vector<std::unique_ptr<Process>>& getProcesses() const { return this->processes; }

private:
    std::unique_ptr<Process> startProcess(std::size_t index);
    std::string makeLogPath(std::size_t index) const;
    std::string writeSettings(int index, const Endpoint& store);

    std::string binaries;
    std::string folder;
    int numZones;
    standin::PlatformSite site;
    std::vector<int> sessionPorts;
    std::vector<std::vector<int>> listeningPorts;
    std::mutex processesMutex;
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<std::string> settingsPaths;
    std::vector<int> numStarts;
    /// Zero: that of this process.
    int descriptorLimit = 0;
    bool hasQuotaPorts = false;
    /// Zero: none.
    int memoryLimit = 0;
};

/// Starts a site with three instances and keeps it running until Enter is pressed.
///
/// @returns whether the site started
bool runGatewaySite(const std::string& binaries, const std::string& folder);

/// Measures wake-ups and processor time of each instance while no caller uses the site.
///
/// @param seconds duration of the measurement
nlohmann::json measureIdleGateway(const std::string& binaries, const std::string& folder, int seconds);

} // namespace lentiljunction::lab
