#include "lentiljunction/leadership/PrimaryView.h"

namespace lentiljunction {

std::optional<UpstreamId> findOnlyClaimant(const GroupId& group, const UpstreamList& upstreams)
{
    std::optional<UpstreamId> claimant;
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : upstreams.entries) {
        if (upstream.second.group != group || !upstream.second.claimsPrimary)
            continue;
        if (claimant)
            return std::nullopt;
        claimant = upstream.first;
    }
    return claimant;
}

std::vector<OpenPromotion> PrimaryView::findOpenPromotions(const GroupId& group) const
{
    const PrimaryEntry* entry = this->latest.record == nullptr ? nullptr : this->latest.record->find(group);
    std::vector<OpenPromotion> open;
    if (entry == nullptr || entry->phase != PrimaryPhase::Stable)
        return open;
    for (const OpenPromotion& promotion : entry->openPromotions) {
        // For the present primary, a call changes nothing.
        if (promotion.upstream != entry->primary)
            open.push_back(promotion);
    }
    return open;
}

std::optional<PrimaryTenure> PrimaryView::findPrimaryTenure(const GroupId& group, const UpstreamList& upstreams) const
{
    if (this->latest.record == nullptr)
        return std::nullopt;

    const PrimaryEntry* entry = this->latest.record->find(group);
    if (entry != nullptr) {
        if (entry->phase == PrimaryPhase::Changing)
            return std::nullopt;
        return PrimaryTenure { entry->primary, entry->generation };
    }

    // The group is not recorded yet, so it has never had a failover, and a single claim is true.
    std::optional<UpstreamId> claimant = findOnlyClaimant(group, upstreams);
    return claimant ? std::optional<PrimaryTenure>(PrimaryTenure { *claimant, 0 }) : std::nullopt;
}

std::uint64_t PrimaryView::getGeneration(const GroupId& group) const
{
    const PrimaryEntry* entry = this->latest.record == nullptr ? nullptr : this->latest.record->find(group);
    return entry == nullptr ? 0 : entry->generation;
}

LogPoint PrimaryView::limitToSurviving(const GroupId& group, const LogPoint& point) const
{
    const PrimaryEntry* entry = this->latest.record == nullptr ? nullptr : this->latest.record->find(group);
    return entry == nullptr ? point : entry->limitToSurviving(point);
}

bool PrimaryView::isChanging(const GroupId& group) const
{
    const PrimaryEntry* entry = this->latest.record == nullptr ? nullptr : this->latest.record->find(group);
    return entry != nullptr && entry->phase == PrimaryPhase::Changing;
}

} // namespace lentiljunction
