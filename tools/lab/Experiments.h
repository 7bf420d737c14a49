#pragma once

#include "Site.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// What all experiments need.
struct ExperimentConfig {
    SitePlan site;
    /// The folder with the programs.
    std::string binaries;
    /// Receives settings and logs.
    std::string folder;
};

/// How a primary fails.
enum class PrimaryFault {
    /// Its availability zone is cut off, with the instances in it.
    Cut,
    /// Its process ends.
    Crash,
    /// Its process stops and goes on later.
    Freeze,
};

/// @returns the fault of a name, or nothing
std::optional<PrimaryFault> parsePrimaryFault(const std::string& text);

/// Makes a primary fail under bookings and measures the gap in writes.
///
/// @param isStoreDown whether the platform's store is down from before the fault on
/// @param rounds how often, each on a fresh cluster
nlohmann::json measureFailover(const ExperimentConfig& setting, PrimaryFault fault, bool isStoreDown, int rounds);

/// Reads and books at a steady rate and measures the share of reads that replicas served.
nlohmann::json measureReads(const ExperimentConfig& setting);

/// Floods with one rank and measures the service of all: quiet, under the flood, and after it.
///
/// @param floodRank the rank that floods
/// @param factor the flood in multiples of the rank's quiet load
nlohmann::json measureFlood(const ExperimentConfig& setting, const std::string& floodRank, double factor);

/// Kills, stops and cuts in turn under bookings, and checks that none was lost or doubled.
nlohmann::json measureChaos(const ExperimentConfig& setting, std::uint64_t seed, int seconds);

/// Compares each policy with its plain alternative, on the same machine in one run: ranks, reads by
/// replicas, durability and gates.
nlohmann::json comparePolicies(const ExperimentConfig& setting);

/// Measures what failover by leases in the store would cost: the gap, the store's writes, and what
/// happens when the store is down. The alternative that docs/design/failover.md weighs.
nlohmann::json measureLease(const ExperimentConfig& setting);

/// Floods two instances past what their processors can do, and measures urgent requests.
///
/// @param requestedFloodPerSecond background requests per second
nlohmann::json measureOverload(const ExperimentConfig& setting, double requestedFloodPerSecond);

/// @returns the sum of all samples of a metric over all instances, where the line holds the text
double sumMetric(class Cluster& cluster, const std::string& name, const std::string& text);

} // namespace lentiljunction::lab
