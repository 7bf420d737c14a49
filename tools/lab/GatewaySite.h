#pragma once

#include "../../standins/platform/PlatformSite.h"
#include "Process.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// Gateway instances as processes of their own, in front of the stand-ins of the users' platform.
///
/// @see standin::PlatformSite
class GatewaySite {
public:
    /// @param binaries the folder with the programs
    /// @param folder receives settings and logs; made when missing
    GatewaySite(std::string binaries, std::string folder);

    /// Starts the stand-ins and the instances, each with a door of its own to the store, and waits until
    /// all are ready.
    bool start(int numInstances, Failure& failure);

    /// @returns where callers reach each instance
    const std::vector<int>& getSessionPorts() const { return this->sessionPorts; }

    /// Starts an instance again after its process has ended.
    void restart(std::size_t index);

    /// @returns the stand-ins of the platform
    standin::PlatformSite& getSite() { return this->site; }

    /// @returns the processes, in the order of the ports
    const std::vector<std::unique_ptr<Process>>& getProcesses() const { return this->processes; }

private:
    std::unique_ptr<Process> startProcess(std::size_t index);
    std::string writeSettings(int index, const Endpoint& store);

    std::string binaries;
    std::string folder;
    standin::PlatformSite site;
    std::vector<int> sessionPorts;
    std::vector<int> readyPorts;
    std::vector<std::unique_ptr<Process>> processes;
    std::vector<std::string> settingsPaths;
    std::vector<int> numStarts;
};

/// Starts a site and keeps it until Enter is pressed.
bool runGatewaySite(const std::string& binaries, const std::string& folder);

/// Measures what an instance costs while nobody uses it.
///
/// @param seconds how long
nlohmann::json measureIdleGateway(const std::string& binaries, const std::string& folder, int seconds);

} // namespace lentiljunction::lab
