#pragma once

#include "lentiljunction/bundle/Signing.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::tests {

/// @param version the bundle's version
/// @param operators the keys of the operators, by name
/// @param threshold the number of approvals that successors need
/// @param numDatabases the number of groups, each of three upstreams
/// @returns a valid bundle
nlohmann::json makeSampleBundle(std::uint64_t version, const std::map<std::string, KeyPair>& operators, int threshold, int numDatabases = 2);

} // namespace lentiljunction::tests
