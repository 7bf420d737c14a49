#pragma once

#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace lentiljunction {

/// @returns a list of upstreams as instances send it to each other
nlohmann::json encodeUpstreamList(const UpstreamList& list);

/// @returns the list, or nothing when it is malformed
std::optional<UpstreamList> decodeUpstreamList(const nlohmann::json& document);

/// @returns a list of instances as instances send it to each other
nlohmann::json encodeMemberList(const std::vector<FleetMember>& members);

/// @returns the list, or nothing when it is malformed
std::optional<std::vector<FleetMember>> decodeMemberList(const nlohmann::json& document);

} // namespace lentiljunction
