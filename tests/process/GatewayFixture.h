#pragma once

#include "../../platform/PlatformAdapter.h"
#include "../../src/gateway/GatewayInstance.h"
#include "../../standins/platform/PlatformSite.h"
#include "../../tools/lab/LineCaller.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lentiljunction {

/// Gateway instances in front of stand-ins, on loopback. Each has a door of its own to the store.
///
/// @see standin::PlatformSite
class GatewayFixture {
public:
    /// @param numInstances how many gateway instances are started
    explicit GatewayFixture(int numInstances = 2);
    ~GatewayFixture();

    /// Writes a configuration.
    void configure(std::uint64_t version, const std::vector<std::string>& databases) { this->site.configure(version, databases); }

    /// Waits until an instance serves a read of a database.
    bool waitUntilServed(const std::string& database);

    /// Tells the store what an upstream says of itself.
    void report(const std::string& id, bool isPrimary, bool isLeaving = false) { this->site.report(id, isPrimary, isLeaving); }

    /// Stops an instance as a killed process.
    void kill(std::size_t index) { this->instances[index].reset(); }

    /// Drains an instance, then stops it.
    void drain(std::size_t index);

    /// @returns where other instances reach an instance
    const Endpoint& getPeerEndpoint(std::size_t index) const { return this->peerEndpoints[index]; }

    /// @returns an instance's metrics page
    std::string readMetrics(std::size_t index) const;

    std::uint16_t getPort(std::size_t index) const { return this->sessionPorts[index]; }
    standin::PlatformStore& getStore() { return this->site.getStore(); }
    standin::LineGroup& getGroup() { return this->site.getGroup(); }

private:
    GatewaySettings makeSettings(std::size_t index);

    SystemClock clock;
    PlatformAdapter adapter;
    standin::PlatformSite site;
    std::vector<std::uint16_t> sessionPorts;
    std::vector<Endpoint> peerEndpoints;
    std::vector<Endpoint> metricsEndpoints;
    std::vector<std::unique_ptr<GatewayInstance>> instances;
};

/// Waits until a condition holds.
///
/// @returns whether it held within a limit far above what is needed
bool waitUntil(const std::function<bool()>& condition);

} // namespace lentiljunction
