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
/// @param version the version to read, or nothing for the active one
/// @returns the bundle, or nothing with `failure` set
std::optional<SignedBundle> readBundle(PlatformStore& store, std::optional<BundleVersion> version, Failure& failure);

/// Reserves a block of terms by conditional update. If the response to an update is lost, the nonce
/// shows on the next attempt whether the block was granted. Blocks.
///
/// @param above all terms of the block are greater than this one
/// @param nonce identifies the request
/// @returns the block, or nothing when the store does not respond, the record is malformed or all
/// attempts conflict
std::optional<TermRecord::Grant> reserveTerms(PlatformStore& store, const DatabaseId& database, Term above, const std::string& nonce);

/// @returns the ids in a JSON array; none when the text is malformed
std::set<UpstreamId> parseUpstreamIds(const std::string& text);

/// @returns the live instances of the platform's list; none when the text is malformed
std::vector<SeedPeer> parseInstances(const std::string& text);

/// @returns the version in the object that names the active bundle, or nothing when it is malformed
std::optional<BundleVersion> parseBundleVersion(const std::string& text);

} // namespace lentiljunction
