#pragma once

#include "lentiljunction/bundle/Signing.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::tests {

/// @returns a valid bundle with `numDatabases` groups of three upstreams
nlohmann::json makeSampleBundle(std::uint64_t version, const std::map<std::string, KeyPair>& operators, int threshold, int numDatabases = 2);

} // namespace lentiljunction::tests
