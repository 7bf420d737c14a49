#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::lab {

/// Parameters of a soak test.
struct SoakPlan {
    std::uint64_t seed = 1;
    int seconds = 30;
    int numInstances = 5;
    int numZones = 3;
    /// Connections that each upstream accepts. With fewer than there are instances, the instances of a zone lend
    /// them to each other.
    int maximumConnections = 16;
    int numCallers = 8;
    /// Number of threads that inject faults; as many faults may overlap.
    int numFaultThreads = 3;
    /// Whether the store also returns from copies that are up to seconds old.
    bool restoresStore = false;
    /// Whether callers have keys of workspaces, which are replaced all the time. Not together with restoresStore, which
    /// publishes an earlier configuration again.
    bool hasWorkspaces = false;
    /// Whether all instances are killed at the end, just after the primary was asked to leave. About a third of the seeds do
    /// so without this.
    bool hasFinalFault = false;
    /// Whether half of the instances that are restarted are replaced by others with new ids, and the entries of crashed upstreams
    /// expire.
    bool replacesInstances = false;
};

/// Runs instances as processes under random faults and checks the responses to callers against the commits
/// at the upstreams.
///
/// The seed determines the kind and order of the faults. Their exact time depends on the machine, so the same
/// seed does not repeat a run exactly.
///
/// @param binaries folder of the executables
/// @param folder folder for settings and logs
/// @returns counts, the injected faults as "script", and the broken guarantees as "violations"
nlohmann::json runSoak(const SoakPlan& plan, const std::string& binaries, const std::string& folder);

} // namespace lentiljunction::lab
