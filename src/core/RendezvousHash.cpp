#include "lentiljunction/core/RendezvousHash.h"

namespace lentiljunction {

namespace {

    constexpr std::uint64_t fnvOffset = 14695981039346656037ULL;
    constexpr std::uint64_t fnvPrime = 1099511628211ULL;

    std::uint64_t mix(std::uint64_t hash)
    {
        hash ^= hash >> 33;
        hash *= 0xff51afd7ed558ccdULL;
        hash ^= hash >> 33;
        hash *= 0xc4ceb9fe1a85ec53ULL;
        hash ^= hash >> 33;
        return hash;
    }

} // namespace

std::uint64_t stableHash(const std::string& text)
{
    std::uint64_t hash = fnvOffset;
    for (char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= fnvPrime;
    }
    return mix(hash);
}

std::uint64_t combineHashes(std::uint64_t keyHash, std::uint64_t memberHash)
{
    return mix(keyHash ^ (memberHash * fnvPrime));
}

std::uint64_t rendezvousScore(const std::string& key, const std::string& member)
{
    return combineHashes(stableHash(key), stableHash(member));
}

} // namespace lentiljunction
