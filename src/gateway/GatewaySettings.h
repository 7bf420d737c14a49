#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/quota/QuotaLimit.h"
#include "lentiljunction/settings/Settings.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// The settings of a gateway instance, read from an INI file.
///
/// @see loadGatewaySettings, docs/operating/gateway.md
struct GatewaySettings {
    InstanceId instance;
    ZoneId zone;
    /// Where callers open sessions.
    Endpoint sessions;
    /// Where the load balancer probes readiness.
    Endpoint ready;
    /// Where other instances connect.
    Endpoint peers;
    /// Where other instances borrow connections to upstreams; empty when this instance neither lends nor borrows.
    std::optional<Endpoint> lending;
    /// Where other instances request decisions on the limits of workspaces; empty when limits are not enforced.
    std::optional<Endpoint> quota;
    QuotaTolerance quotaTolerance;
    /// Instances to contact until the list of instances has been read from the store.
    std::vector<Endpoint> seeds;
    /// Where metrics are served.
    Endpoint metrics;
    /// The store that all instances share.
    Endpoint store;
    /// Whether the whole system starts for the first time. Only then is a missing primary record created as that of groups
    /// without a failover; otherwise it is taken for lost.
    bool isFirstStart = false;
    /// The platform service that promotes upstreams; without it (port 0) no promotion succeeds.
    Endpoint promotion;
    /// Whether the concurrent statements that each upstream handles well are discovered from its answers.
    bool discoversCapacity = false;
    /// Whether reads avoid upstreams that fail much of their work.
    bool ejectsUpstreams = false;
    /// The file descriptors that the process may open; empty when its own limit counts.
    std::optional<std::size_t> maximumDescriptors;
    /// The bandwidth of the machine's link; zero when it is not known.
    BitRate linkRate {};
    /// The memory of the process in MiB; empty when callers may fill any.
    std::optional<std::size_t> maximumMemory;
    /// Time from the termination signal until the process is killed.
    std::chrono::milliseconds shutdownGrace { 6000 };
};

/// @returns whether the file contains the settings of a gateway instance
bool isGatewayFile(const std::string& path);

/// Reads and validates an INI file.
///
/// @param failure receives all faults, each with file, section, key, value and the allowed values
/// @returns the settings, or nothing when there is a fault
std::optional<GatewaySettings> loadGatewaySettings(const std::string& path, Failure& failure);

} // namespace lentiljunction
