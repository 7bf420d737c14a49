#pragma once

#include "lentiljunction/core/Ids.h"

#include <optional>
#include <string>

namespace lentiljunction {

/// The digest of an API key: the first 16 bytes of its SHA-256 in hexadecimal. Keys themselves are neither stored nor
/// exchanged nor logged; digests may be.
using KeyDigest = Name<struct KeyDigestTag>;

/// @returns the digest of a key
KeyDigest computeKeyDigest(const std::string& key);

/// @returns the digest with this text, or nothing when it is malformed
std::optional<KeyDigest> parseKeyDigest(const std::string& text);

} // namespace lentiljunction
