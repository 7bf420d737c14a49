#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::lab {

/// Parameters of a run of the fuzzer.
struct FuzzPlan {
    std::uint64_t seed = 1;
    std::chrono::seconds duration { 30 };
};

/// Starts a site of two instances and sends damaged and nearly valid bytes to all ports of the first one, while other
/// callers of both instances read what they wrote.
///
/// It is a violation when a process ends, an instance uses a core while nothing is sent, its memory exceeds that of the
/// smallest machine, it does not become ready again, or a caller gets a row that it did not write last.
///
/// A seed repeats the inputs of each port, not the order in which ports get them.
///
/// @param binaries folder of the executables
/// @param folder folder for settings and logs
/// @returns counts and measurements, and what went wrong as "violations"
/// @see FuzzInput
nlohmann::json fuzzPorts(const FuzzPlan& plan, const std::string& binaries, const std::string& folder);

} // namespace lentiljunction::lab
