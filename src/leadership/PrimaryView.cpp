#include "lentiljunction/leadership/PrimaryView.h"

namespace lentiljunction {

std::vector<OpenPromotion> PrimaryView::findOpenPromotions(const GroupId& group, BootTime now) const
{
    const PrimaryEntry* entry = this->latest.record == nullptr ? nullptr : this->latest.record->find(group);
    return entry != nullptr && this->isReplaceable(group, now) ? entry->openPromotions : std::vector<OpenPromotion>();
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

std::vector<PossibleReplacement> PrimaryView::listReplacements(const GroupId& group, BootTime now) const
{
    std::vector<PossibleReplacement> open;
    std::map<GroupId, std::vector<PossibleReplacement>>::const_iterator found = this->replacements.find(group);
    if (found == this->replacements.end())
        return open;
    for (const PossibleReplacement& replacement : found->second) {
        if (now < replacement.until)
            open.push_back(replacement);
    }
    return open;
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
