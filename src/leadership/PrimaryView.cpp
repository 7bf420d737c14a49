#include "lentiljunction/leadership/PrimaryView.h"

namespace lentiljunction {

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

    // The group has never had a failover, so the upstream that claims to be the primary is, if it is the only one.
    std::optional<PrimaryTenure> claimed;
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : upstreams.entries) {
        if (upstream.second.group != group || !upstream.second.claimsPrimary)
            continue;
        if (claimed)
            return std::nullopt;
        claimed = PrimaryTenure { upstream.first, 0 };
    }
    return claimed;
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
