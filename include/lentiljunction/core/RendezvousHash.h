#pragma once

#include <cstdint>
#include <string>

namespace lentiljunction {

/// @returns a 64-bit FNV-1a hash with a final mixing step; the same on all machines
std::uint64_t stableHash(const std::string& text);

/// @returns the score of a member for a key, from their stable hashes
std::uint64_t combineHashes(std::uint64_t keyHash, std::uint64_t memberHash);

/// Computes the score of a member for a key (rendezvous hashing). The member with the highest score
/// owns the key. When a member is removed, only its own keys move to other members.
///
/// @param key the key to assign, for example an upstream's id
/// @param member a candidate, for example an instance's id
/// @returns the score; the calling code breaks ties by the members' names
std::uint64_t rendezvousScore(const std::string& key, const std::string& member);

} // namespace lentiljunction
