#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Endpoint.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// A peer that the instance contacts before it has received any membership message.
struct SeedPeer {
    InstanceId id;
    ZoneId zone;
    Endpoint endpoint;
};

/// The settings that one instance reads from its INI file at start.
///
/// Configuration that can change while the instance runs is in the bundle instead.
///
/// @see loadSettings, Bundle
struct Settings {
    InstanceId instance;
    ZoneId zone;
    /// The address on which callers, operators and metrics scrapers connect.
    Endpoint callers;
    /// The address on which peers connect.
    Endpoint peers;
    /// The address that is announced to peers; equal to `peers` by default.
    Endpoint advertised;
    Endpoint store;
    /// The number of threads that decode requests and encode responses.
    int workers = 2;
    /// How long a shutdown waits for requests in flight.
    std::chrono::milliseconds drainTimeout { 30000 };
    /// How long a draining instance still accepts requests, so that load balancers can remove it first.
    std::chrono::milliseconds drainGrace { 1000 };
    std::vector<SeedPeer> seeds;
    /// The operators trusted until the first bundle is loaded.
    OperatorSet trust;
};

/// Reads an INI file and reports all errors in it together.
///
/// @param path the file
/// @param failure receives every error with file, section, key, value and the allowed values
/// @returns the settings, or nothing when the file has errors
std::optional<Settings> loadSettings(const std::string& path, Failure& failure);

} // namespace lentiljunction
