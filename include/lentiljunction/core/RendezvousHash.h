#pragma once

#include <cstdint>
#include <string>

namespace lentiljunction {

/// @returns a 64-bit FNV-1a hash with a final mix; the same on every machine
std::uint64_t stableHash(const std::string& text);

/// @returns the score of a member for a key, from their stable hashes
std::uint64_t combineHashes(std::uint64_t keyHash, std::uint64_t memberHash);

/// Scores a member for a key. The member with the highest score owns the key, and only the keys
/// of a member that goes move to others.
///
/// @param key what is to be owned, for example an upstream's id
/// @param member a candidate, for example an instance's id
/// @returns the score; ties are broken by the caller with the member's name
std::uint64_t rendezvousScore(const std::string& key, const std::string& member);

} // namespace lentiljunction
