#include "FreshnessProofs.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Proofs closer together are skipped: the staleness that routes allow is far longer.
    constexpr std::chrono::milliseconds minimumInterval { 25 };
    /// Covers several seconds, longer than the staleness that routes allow.
    constexpr std::size_t maximumProofs = 400;

} // namespace

void FreshnessProofs::onNewPrimary(const GroupId& group, const PrimaryEntry& primary)
{
    History& history = this->histories[group];
    if (primary.generation <= history.generation)
        return;
    if (primary.generation > history.generation + 1)
        history.proofs.clear();
    history.generation = primary.generation;
    for (Proof& proof : history.proofs)
        proof.head = primary.limitToSurviving(proof.head);
}

void FreshnessProofs::add(const GroupId& group, std::uint64_t generation, BootTime requestedAt, LogPoint head)
{
    History& history = this->histories[group];
    if (generation < history.generation)
        return;
    if (history.generation < generation) {
        history.generation = generation;
        history.proofs.clear();
    }
    if (!history.proofs.empty() && requestedAt < history.proofs.back().requestedAt + minimumInterval)
        return;
    history.proofs.push_back({ requestedAt, head });
    if (history.proofs.size() > maximumProofs)
        history.proofs.pop_front();
}

std::optional<LogPoint> FreshnessProofs::findRequired(const GroupId& group, std::uint64_t generation, BootTime notBefore) const
{
    std::map<GroupId, History>::const_iterator found = this->histories.find(group);
    if (found == this->histories.end() || found->second.generation != generation)
        return std::nullopt;
    const std::deque<Proof>& proofs = found->second.proofs;
    std::deque<Proof>::const_iterator proof = std::lower_bound(proofs.begin(), proofs.end(), notBefore, [](const Proof& candidate, BootTime time) {
        return candidate.requestedAt < time;
    });
    if (proof == proofs.end())
        return std::nullopt;
    return proof->head;
}

std::optional<BootTime> FreshnessProofs::findNewest(const GroupId& group, std::uint64_t generation) const
{
    std::map<GroupId, History>::const_iterator found = this->histories.find(group);
    if (found == this->histories.end() || found->second.generation != generation || found->second.proofs.empty())
        return std::nullopt;
    return found->second.proofs.back().requestedAt;
}

std::vector<FreshnessProofs::Newest> FreshnessProofs::listNewest() const
{
    std::vector<Newest> all;
    for (const std::pair<const GroupId, History>& entry : this->histories) {
        const std::deque<Proof>& proofs = entry.second.proofs;
        if (!proofs.empty())
            all.push_back({ entry.first, entry.second.generation, proofs.back().requestedAt, proofs.back().head });
    }
    return all;
}

} // namespace lentiljunction
