#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::lab {

/// What a soak does.
struct SoakPlan {
    std::uint64_t seed = 1;
    int seconds = 30;
    int numInstances = 5;
    int numCallers = 8;
    /// Faults that may overlap.
    int numFaultThreads = 3;
};

/// Runs real instances as processes under random faults, and checks what callers and upstreams see.
///
/// The seed decides what is drawn; when it strikes depends on the machine, so a seed repeats the kind
/// and order of faults, not the exact run.
///
/// @param binaries the folder with the programs
/// @param folder receives settings and logs
/// @returns counts, the script and "violations", empty when every promise was kept
nlohmann::json runSoak(const SoakPlan& plan, const std::string& binaries, const std::string& folder);

} // namespace lentiljunction::lab
