#pragma once

#include "Site.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// Parameters that all experiments share.
struct ExperimentConfig {
    SitePlan site;
    /// Folder of the executables.
    std::string binaries;
    /// Folder for settings and logs.
    std::string folder;
};

/// A failure of a primary.
enum class PrimaryFault {
    /// The primary's availability zone is cut off from the others, including the instances in it.
    Cut,
    /// The process is killed.
    Crash,
    /// The process is paused and continues later.
    Freeze,
};

/// @returns the fault named "cut", "crash" or "freeze", nothing for any other text
std::optional<PrimaryFault> parsePrimaryFault(const std::string& text);

/// Makes a primary fail while bookings are written and measures how long no write completes.
///
/// @param isStoreDown whether the platform's store is down, from 500 ms before the fault
/// @param rounds number of rounds, each on a new cluster
nlohmann::json measureFailover(const ExperimentConfig& setting, PrimaryFault fault, bool isStoreDown, int rounds);

/// Sends reads and bookings at a constant rate and measures the share of reads that replicas serve.
nlohmann::json measureReads(const ExperimentConfig& setting);

/// Overloads a cluster with requests of one rank and measures throughput and latency of all ranks before, during
/// and after the flood.
///
/// @param floodRank rank of the flood's requests
/// @param factor rate of the flood as a multiple of the rank's normal rate
nlohmann::json measureFlood(const ExperimentConfig& setting, const std::string& floodRank, double factor);

/// Injects random faults one after another while bookings are written, and checks that no booking is lost or
/// duplicated.
nlohmann::json measureChaos(const ExperimentConfig& setting, std::uint64_t seed, int seconds);

/// Compares each policy with the simpler alternative, on the same machine in one run: ranks, replica reads,
/// durability and gates.
nlohmann::json comparePolicies(const ExperimentConfig& setting);

/// Measures failover by leases in the store, the alternative that docs/design/failover.md discusses: the time
/// without a holder, the write rate at the store, and whether the lease can be taken while the store is down.
nlohmann::json measureLease(const ExperimentConfig& setting);

/// Sends two instances more background requests than their processors can handle and measures the urgent ones.
///
/// @param requestedFloodPerSecond background requests per second
nlohmann::json measureOverload(const ExperimentConfig& setting, double requestedFloodPerSecond);

/// @returns the sum over all instances of a metric's samples whose line contains the text
double sumMetric(class Cluster& cluster, const std::string& name, const std::string& text);

} // namespace lentiljunction::lab
