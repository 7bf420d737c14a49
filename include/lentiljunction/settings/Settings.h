#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Endpoint.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// A peer that is known before any membership message arrived.
struct SeedPeer {
    InstanceId id;
    ZoneId zone;
    Endpoint endpoint;
};

/// What one instance reads from its INI file at start.
///
/// Everything that may change while the service runs is in the bundle instead.
///
/// @see loadSettings, Bundle
struct Settings {
    InstanceId instance;
    ZoneId zone;
    /// Where callers, operators and metrics connect.
    Endpoint callers;
    /// Where peers connect.
    Endpoint peers;
    /// The address that peers are told; the same as `peers` unless set otherwise.
    Endpoint advertised;
    Endpoint store;
    /// Threads that decode and encode requests.
    int workers = 2;
    /// How long a stop waits for requests in flight.
    std::chrono::milliseconds drainTimeout { 30000 };
    /// How long an instance that drains still takes requests, while balancers notice.
    std::chrono::milliseconds drainGrace { 1000 };
    std::vector<SeedPeer> seeds;
    /// The operators trusted before any bundle was seen.
    OperatorSet trust;
};

/// Reads and checks an INI file as a whole.
///
/// @param path the file
/// @param failure receives every fault with file, section, key, value and what is allowed
/// @returns the settings, or nothing
std::optional<Settings> loadSettings(const std::string& path, Failure& failure);

} // namespace lentiljunction
