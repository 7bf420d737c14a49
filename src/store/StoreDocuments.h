#pragma once

#include "lentiljunction/bundle/SignedBundle.h"
#include "lentiljunction/failover/TermReserve.h"
#include "lentiljunction/settings/Settings.h"
#include "lentiljunction/store/PlatformStore.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction {

/// Reads a signed bundle from the store. Blocks.
///
/// @param version the version, or nothing for the one in force
std::optional<SignedBundle> readBundle(PlatformStore& store, std::optional<BundleVersion> version, Failure& failure);

/// Takes a block of terms by conditional update. A lost answer is resolved by the nonce. Blocks.
///
/// @param above the block must lie above this term
/// @param nonce names the request
/// @returns the block, or nothing when the store does not answer
std::optional<TermRecord::Grant> reserveTerms(PlatformStore& store, const DatabaseId& database, Term above, const std::string& nonce);

/// @returns the ids of a JSON array; none when it is malformed
std::set<UpstreamId> parseUpstreamIds(const std::string& text);

/// @returns the live instances of the platform's list; none when it is malformed
std::vector<SeedPeer> parseInstances(const std::string& text);

/// @returns the version that the pointer to the bundle in force holds
std::optional<BundleVersion> parseBundleVersion(const std::string& text);

} // namespace lentiljunction
