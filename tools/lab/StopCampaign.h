#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::lab {

/// Parameters of a campaign of stops under load.
struct StopPlan {
    std::uint64_t seed = 1;
    int numRounds = 20;
    int numInstances = 5;
};

/// Stops all instances of a site by SIGTERM while callers use them, again and again, with further SIGTERM, SIGHUP and SIGINT
/// during the drain.
///
/// An instance must end with exit code 0 within its grace period, its last line must be event 120, and no statement that it was
/// sent in the first half of that period may be cut off without an answer.
///
/// @param binaries folder of the executables
/// @param folder folder for settings and logs
/// @returns counts of stops and statements, and what went wrong as "violations"
nlohmann::json runStopCampaign(const StopPlan& plan, const std::string& binaries, const std::string& folder);

} // namespace lentiljunction::lab
