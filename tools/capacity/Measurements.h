#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::capacity {

/// The size to design for.
constexpr int designInstances = 2100;
constexpr int designDatabases = 2300;
constexpr int designZones = 16;

/// Bytes, messages, processor time and memory of membership per instance, against members.
nlohmann::json measureMembership();

/// What happens to membership traffic when a zone is lost, when it returns, and at 400 restarts.
nlohmann::json measureMembershipStorms();

/// Bytes, time and memory of a bundle, its delta and the map of gates, against databases.
nlohmann::json measureBundle();

/// Memory of an instance against caller sessions.
nlohmann::json measureSessions(const std::string& binaries, const std::string& folder);

/// Processor time of an instance against statements per second, served here and forwarded.
nlohmann::json measureStatements(const std::string& binaries, const std::string& folder);

/// Processor time of all instances against bookings per second, with their confirmations.
nlohmann::json measureWrites(const std::string& binaries, const std::string& folder);

/// Processor time, memory and probes of an idle gate against groups.
nlohmann::json measureGroups(const std::string& binaries, const std::string& folder);

/// Calls to the store per second against instances.
nlohmann::json measureStore(const std::string& binaries, const std::string& folder);

} // namespace lentiljunction::capacity
