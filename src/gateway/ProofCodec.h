#pragma once

#include "../traffic/FreshnessProofs.h"
#include "lentiljunction/core/Clock.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Encodes freshness proofs for another instance, with ages instead of times because instances do not share a
/// clock.
///
/// @param now the time from which the age of each proof is computed
nlohmann::json encodeProofs(const std::vector<FreshnessProofs::Newest>& proofs, BootTime now);

/// Parses freshness proofs of another instance.
///
/// @param sentAt when the request was sent. The ages were computed later, so a decoded proof may appear
/// older than it is, but never younger.
/// @returns the proofs, or nothing when the document is malformed
std::optional<std::vector<FreshnessProofs::Newest>> decodeProofs(const nlohmann::json& document, BootTime sentAt);

} // namespace lentiljunction
