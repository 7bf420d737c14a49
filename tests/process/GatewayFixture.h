#pragma once

#include "../../platform/PlatformAdapter.h"
#include "../../src/gateway/GatewayInstance.h"
#include "../../standins/platform/PlatformSite.h"
#include "../../tools/lab/LineCaller.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// Gateway instances with stand-ins for the upstreams and the store, on loopback. Each instance has its own
/// endpoint of the store, so that faults can be injected for a single instance.
///
/// @see standin::PlatformSite
class GatewayFixture {
public:
    /// @param numInstances the number of gateway instances to start
    /// @param ejectsUpstreams whether reads avoid upstreams that fail
    /// @param enforcesLimits whether the instances enforce the limits of workspaces
    explicit GatewayFixture(int numInstances = 2, bool ejectsUpstreams = false, bool enforcesLimits = false);
    ~GatewayFixture();

    /// Writes a configuration to the store.
    void configure(std::uint64_t version, const std::vector<std::string>& databases) { this->site.configure(version, databases); }

    /// Waits until all instances serve reads of a database.
    ///
    /// @returns false when they did not within the timeout
    bool waitUntilServed(const std::string& database);

    /// Updates the entry of an upstream in the store.
    void report(const std::string& id, bool isPrimary, bool isLeaving = false) { this->site.report(id, isPrimary, isLeaving); }

    /// Stops an instance without draining it, like a killed process.
    void kill(std::size_t index) { this->instances[index].reset(); }

    /// Sets the memory limit of instances that are started from now on, in MiB.
    void setMaximumMemory(std::size_t newMaximumMemory) { this->maximumMemory = newMaximumMemory; }

    /// Starts another instance, which knows only what the store and the other instances tell it.
    ///
    /// @returns its index
    std::size_t startInstance();

    /// Starts an instance again that was killed, with the same id and ports.
    void restart(std::size_t index);

    /// @returns the index of the instance that may replace primaries, or nothing while none or several say so
    std::optional<std::size_t> findCoordinator() const;

    /// Drains an instance, then stops it.
    void drain(std::size_t index);

    /// @returns the endpoint at which other instances reach an instance
    const Endpoint& getPeerEndpoint(std::size_t index) const { return this->peerEndpoints[index]; }

    /// @returns the metrics page of an instance
    std::string readMetrics(std::size_t index) const;

    /// @returns the endpoint of the metrics page of an instance
    const Endpoint& getMetricsEndpoint(std::size_t index) const { return this->metricsEndpoints[index]; }

    std::uint16_t getPort(std::size_t index) const { return this->sessionPorts[index]; }
    standin::PlatformSite& getSite() { return this->site; }
    standin::PlatformStore& getStore() { return this->site.getStore(); }
    standin::LineGroup& getGroup() { return this->site.getGroup(); }

private:
    GatewaySettings makeSettings(std::size_t index);
    std::unique_ptr<GatewayInstance> start(const GatewaySettings& settings);

    SystemClock clock;
    /// Whether the instances of the first start are running.
    bool isRunning = false;
    bool ejectsUpstreams;
    bool enforcesLimits;
    std::optional<std::size_t> maximumMemory;
    PlatformAdapter adapter;
    standin::PlatformSite site;
    std::vector<GatewaySettings> settingsOfInstances;
    std::vector<std::uint16_t> sessionPorts;
    std::vector<Endpoint> peerEndpoints;
    std::vector<Endpoint> metricsEndpoints;
    std::vector<std::unique_ptr<GatewayInstance>> instances;
};

/// Waits until a condition holds.
///
/// @returns whether it held within a timeout far longer than needed
bool waitUntil(const std::function<bool()>& condition);

} // namespace lentiljunction
