#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::capacity {

/// Fleet size that the design must support; measurements are extrapolated to it.
constexpr int designInstances = 2100;
constexpr int designDatabases = 2300;
constexpr int designZones = 16;

/// Measures traffic, processor time and memory of membership per instance, by number of members.
nlohmann::json measureMembership();

/// Measures membership traffic and the time until all instances agree when a zone is lost, when it returns, and
/// when a fifth of the instances restart at once (about 400 at the design size).
nlohmann::json measureMembershipStorms();

/// Measures size, processing time and memory of a bundle, its delta and the gate map, by number of databases.
nlohmann::json measureBundle();

/// Measures the memory of an instance, by number of caller sessions.
nlohmann::json measureSessions(const std::string& binaries, const std::string& folder);

/// Measures processor time and latency, by statements per second: with one instance, which serves all
/// statements itself, and with two, where half of them are forwarded.
nlohmann::json measureStatements(const std::string& binaries, const std::string& folder);

/// Measures processor time of all instances and latency, by bookings per second with confirmation by replicas.
nlohmann::json measureWrites(const std::string& binaries, const std::string& folder);

/// Measures processor time, memory and network traffic of an instance that only probes the upstreams of idle
/// groups, by number of groups.
nlohmann::json measureGroups(const std::string& binaries, const std::string& folder);

/// Measures store calls per second of an idle zone, by number of instances.
nlohmann::json measureStore(const std::string& binaries, const std::string& folder);

} // namespace lentiljunction::capacity
