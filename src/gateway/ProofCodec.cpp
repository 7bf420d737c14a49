#include "ProofCodec.h"

#include "lentiljunction/core/Json.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Length of an encoded proof: group, generation, age in microseconds, term, position.
    constexpr std::size_t numFields = 5;

    bool isProof(const nlohmann::json& proof)
    {
        return proof.is_array() && proof.size() == numFields && proof[0].is_string()
            && std::all_of(proof.begin() + 1, proof.end(), [](const nlohmann::json& field) { return field.is_number_unsigned(); })
            // An age beyond that would wrap around, and the proof would pass for a future one.
            && proof[2].get<std::uint64_t>() <= static_cast<std::uint64_t>(longestMessageDuration);
    }

} // namespace

nlohmann::json encodeProofs(const std::vector<FreshnessProofs::Newest>& proofs, BootTime now)
{
    nlohmann::json document = nlohmann::json::array();
    for (const FreshnessProofs::Newest& proof : proofs) {
        Duration age = std::chrono::duration_cast<Duration>(now - proof.requestedAt);
        document.push_back({ proof.group.toString(), proof.generation, static_cast<std::uint64_t>(std::max<Duration::rep>(0, age.count())), proof.head.term.value(), proof.head.position.value() });
    }
    return document;
}

std::optional<std::vector<FreshnessProofs::Newest>> decodeProofs(const nlohmann::json& document, BootTime sentAt)
{
    if (!document.is_array() || (!document.empty() && std::none_of(document.begin(), document.end(), isProof)))
        return std::nullopt;
    std::vector<FreshnessProofs::Newest> proofs;
    for (const nlohmann::json& proof : document) {
        // One malformed proof must not hide those of other groups.
        if (!isProof(proof))
            continue;
        BootTime requestedAt = sentAt - Duration(proof[2].get<Duration::rep>());
        proofs.push_back({ GroupId(proof[0].get<std::string>()), proof[1].get<std::uint64_t>(), requestedAt, { Term(proof[3].get<std::uint64_t>()), Position(proof[4].get<std::uint64_t>()) } });
    }
    return proofs;
}

} // namespace lentiljunction
