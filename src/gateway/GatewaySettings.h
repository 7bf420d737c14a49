#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/settings/Settings.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// What a gateway instance reads from its INI file.
///
/// @see loadGatewaySettings, docs/operating/gateway.md
struct GatewaySettings {
    InstanceId instance;
    ZoneId zone;
    /// Where callers open sessions.
    Endpoint sessions;
    /// Where the balancer asks whether new sessions may come.
    Endpoint ready;
    /// Where other instances connect.
    Endpoint peers;
    /// Instances that may be there before the store was read.
    std::vector<Endpoint> seeds;
    /// Where metrics are served.
    Endpoint metrics;
    Endpoint store;
    Endpoint promotion;
    /// From the signal to stop until the process is killed.
    std::chrono::milliseconds shutdownGrace { 6000 };
};

/// @returns whether the file holds the settings of a gateway instance
bool isGatewayFile(const std::string& path);

/// Reads and checks an INI file as a whole.
///
/// @param failure receives every fault with file, section, key, value and what is allowed
std::optional<GatewaySettings> loadGatewaySettings(const std::string& path, Failure& failure);

} // namespace lentiljunction
