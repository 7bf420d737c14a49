#include "lentiljunction/workspaces/KeyDigest.h"

#include <array>
#include <openssl/evp.h>
#include <stdexcept>

namespace lentiljunction {

namespace {

    /// Half of SHA-256 leaves collisions out of reach and keeps relayed lists short.
    constexpr std::size_t digestBytes = 16;
    constexpr const char* hexDigits = "0123456789abcdef";

} // namespace

KeyDigest computeKeyDigest(const std::string& key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash {};
    unsigned int length = 0;
    if (EVP_Digest(key.data(), key.size(), hash.data(), &length, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    std::string text;
    for (std::size_t index = 0; index < digestBytes; index++) {
        text += hexDigits[hash[index] >> 4U];
        text += hexDigits[hash[index] & 0xfU];
    }
    return KeyDigest(text);
}

std::optional<KeyDigest> parseKeyDigest(const std::string& text)
{
    bool isValid = text.size() == 2 * digestBytes && text.find_first_not_of(hexDigits) == std::string::npos;
    return isValid ? std::optional<KeyDigest>(KeyDigest(text)) : std::nullopt;
}

} // namespace lentiljunction
