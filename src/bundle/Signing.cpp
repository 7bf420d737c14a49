#include "lentiljunction/bundle/Signing.h"

#include "lentiljunction/core/ProcessEnd.h"

#include <array>
#include <memory>
#include <openssl/evp.h>
#include <vector>

namespace lentiljunction {

namespace {

    using Bytes = std::vector<unsigned char>;
    using KeyHandle = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
    using ContextHandle = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

    constexpr std::size_t keyBytes = 32;
    constexpr std::size_t signatureBytes = 64;

    std::string toHex(const Bytes& bytes)
    {
        constexpr std::array<char, 17> digits { "0123456789abcdef" };
        std::string text;
        for (unsigned char byte : bytes) {
            text.push_back(digits[byte >> 4]);
            text.push_back(digits[byte & 15]);
        }
        return text;
    }

    int toDigit(char character)
    {
        if (character >= '0' && character <= '9')
            return character - '0';
        if (character >= 'a' && character <= 'f')
            return character - 'a' + 10;
        if (character >= 'A' && character <= 'F')
            return character - 'A' + 10;
        return -1;
    }

    std::optional<Bytes> fromHex(const std::string& text, std::size_t expectedBytes)
    {
        if (text.size() != expectedBytes * 2)
            return std::nullopt;

        Bytes bytes;
        for (std::size_t index = 0; index < text.size(); index += 2) {
            int high = toDigit(text[index]);
            int low = toDigit(text[index + 1]);
            if (high < 0 || low < 0)
                return std::nullopt;
            bytes.push_back(static_cast<unsigned char>(high * 16 + low));
        }
        return bytes;
    }

    Bytes prependPurpose(SigningPurpose purpose, const std::string& text)
    {
        std::string full = purpose == SigningPurpose::Bundle ? "lentiljunction bundle\n" : "lentiljunction operators\n";
        full += text;
        return Bytes(full.begin(), full.end());
    }

    KeyHandle makePrivateKey(const std::string& privateKey)
    {
        std::optional<Bytes> bytes = fromHex(privateKey, keyBytes);
        if (!bytes)
            return KeyHandle(nullptr, EVP_PKEY_free);
        return KeyHandle(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytes->data(), bytes->size()), EVP_PKEY_free);
    }

    Bytes getRawKey(const EVP_PKEY* key, int (*getter)(const EVP_PKEY*, unsigned char*, std::size_t*))
    {
        Bytes bytes(keyBytes);
        std::size_t size = bytes.size();
        int isRead = getter(key, bytes.data(), &size);
        checkInvariant(isRead == 1 && size == keyBytes, "a raw key can be read");
        return bytes;
    }

} // namespace

KeyPair createKeyPair()
{
    EVP_PKEY* generated = nullptr;
    std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)> context(EVP_PKEY_CTX_new_id(EVP_PKEY_ED25519, nullptr), EVP_PKEY_CTX_free);
    EVP_PKEY_keygen_init(context.get());
    EVP_PKEY_keygen(context.get(), &generated);
    KeyHandle key(generated, EVP_PKEY_free);
    return { toHex(getRawKey(key.get(), EVP_PKEY_get_raw_private_key)), toHex(getRawKey(key.get(), EVP_PKEY_get_raw_public_key)) };
}

std::optional<std::string> derivePublicKey(const std::string& privateKey, Failure& failure)
{
    KeyHandle key = makePrivateKey(privateKey);
    if (key != nullptr)
        return toHex(getRawKey(key.get(), EVP_PKEY_get_raw_public_key));

    failure.set(Failure::Kind::InvalidInput, "the private key must be 64 hexadecimal digits");
    return std::nullopt;
}

std::optional<std::string> signText(const std::string& privateKey, SigningPurpose purpose, const std::string& text, Failure& failure)
{
    KeyHandle key = makePrivateKey(privateKey);
    if (key == nullptr) {
        failure.set(Failure::Kind::InvalidInput, "the private key must be 64 hexadecimal digits");
        return std::nullopt;
    }

    Bytes message = prependPurpose(purpose, text);
    Bytes signature(signatureBytes);
    std::size_t size = signature.size();
    ContextHandle context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get());
    if (EVP_DigestSign(context.get(), signature.data(), &size, message.data(), message.size()) == 1)
        return toHex(signature);

    failure.set(Failure::Kind::InvalidInput, "the text cannot be signed with this key");
    return std::nullopt;
}

bool verifySignature(const std::string& publicKey, SigningPurpose purpose, const std::string& text, const std::string& signature)
{
    std::optional<Bytes> keyData = fromHex(publicKey, keyBytes);
    std::optional<Bytes> signatureData = fromHex(signature, signatureBytes);
    if (!keyData || !signatureData)
        return false;

    KeyHandle key(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, keyData->data(), keyData->size()), EVP_PKEY_free);
    if (key == nullptr)
        return false;

    Bytes message = prependPurpose(purpose, text);
    ContextHandle context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get());
    return EVP_DigestVerify(context.get(), signatureData->data(), signatureData->size(), message.data(), message.size()) == 1;
}

} // namespace lentiljunction
