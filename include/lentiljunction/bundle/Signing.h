#pragma once

#include "lentiljunction/core/Failure.h"

#include <optional>
#include <string>

namespace lentiljunction {

/// An operator's Ed25519 key pair, in hexadecimal.
struct KeyPair {
    std::string privateKey;
    std::string publicKey;
};

/// The kind of text that is signed. A signature for one purpose is invalid for the other.
enum class SigningPurpose {
    Bundle,
    Operators,
};

/// @returns a new random key pair
KeyPair createKeyPair();

/// @param privateKey 64 hexadecimal digits
/// @param failure receives the reason when the key cannot be used
/// @returns the public key that belongs to the private key
std::optional<std::string> derivePublicKey(const std::string& privateKey, Failure& failure);

/// @param privateKey 64 hexadecimal digits
/// @param purpose the kind of text
/// @param text the text to sign
/// @param failure receives the reason when the key cannot be used
/// @returns the signature in hexadecimal
std::optional<std::string> signText(const std::string& privateKey, SigningPurpose purpose, const std::string& text, Failure& failure);

/// @returns whether the signature of the text was made for this purpose with the private key of this
/// public key
bool verifySignature(const std::string& publicKey, SigningPurpose purpose, const std::string& text, const std::string& signature);

} // namespace lentiljunction
