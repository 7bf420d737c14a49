#pragma once

#include "../traffic/FreshnessProofs.h"
#include "lentiljunction/core/Clock.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace lentiljunction {

/// @param now counts the age of each proof
/// @returns proofs of age as they are handed on to another instance
nlohmann::json encodeProofs(const std::vector<FreshnessProofs::Newest>& proofs, BootTime now);

/// Reads proofs of age from another instance.
///
/// @param sentAt when they were asked for, which is before their ages were counted; so their times come
/// out earlier than they were, never later
/// @returns nothing when they cannot be read
std::optional<std::vector<FreshnessProofs::Newest>> decodeProofs(const nlohmann::json& document, BootTime sentAt);

} // namespace lentiljunction
