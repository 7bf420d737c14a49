#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::lab {

/// Parameters of a campaign of starts and ends.
struct StartPlan {
    std::uint64_t seed = 1;
    int numRounds = 20;
    int numInstances = 8;
    /// Whether SIGHUP also comes while the system still loads the program, before any code of it can block signals.
    bool signalsWhileLoading = false;
};

/// Starts all instances of a site at nearly the same moment, again and again, disturbs their first seconds, and ends them by
/// SIGKILL or SIGTERM.
///
/// Disturbances: SIGHUP as soon as the process has begun its log, pauses at any moment from the start on, listening ports that another process still holds, faults of the
/// store's ports. An instance must neither end by itself nor stay without readiness once they are over.
///
/// @param binaries folder of the executables
/// @param folder folder for settings and logs
/// @returns counts of starts and of ends by their kind, and what went wrong as "violations"
nlohmann::json runStartCampaign(const StartPlan& plan, const std::string& binaries, const std::string& folder);

} // namespace lentiljunction::lab
