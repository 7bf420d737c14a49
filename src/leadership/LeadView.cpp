#include "lentiljunction/leadership/LeadView.h"

namespace lentiljunction {

std::optional<Leader> LeadView::findLeader(const GroupId& group, const UpstreamList& upstreams) const
{
    if (this->lead.record == nullptr)
        return std::nullopt;

    const GroupLead* entry = this->lead.record->find(group);
    if (entry != nullptr) {
        if (entry->phase == LeadPhase::Changing)
            return std::nullopt;
        return Leader { entry->primary, entry->generation };
    }

    // Nobody has replaced a primary of this group yet, so its own claim is right if it is the only one.
    std::optional<Leader> claimed;
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : upstreams.entries) {
        if (upstream.second.group != group || !upstream.second.claimsPrimary)
            continue;
        if (claimed)
            return std::nullopt;
        claimed = Leader { upstream.first, 0 };
    }
    return claimed;
}

std::uint64_t LeadView::getGeneration(const GroupId& group) const
{
    const GroupLead* entry = this->lead.record == nullptr ? nullptr : this->lead.record->find(group);
    return entry == nullptr ? 0 : entry->generation;
}

std::optional<LogPoint> LeadView::findBaseline(const GroupId& group) const
{
    const GroupLead* entry = this->lead.record == nullptr ? nullptr : this->lead.record->find(group);
    if (entry == nullptr || entry->phase == LeadPhase::Changing)
        return std::nullopt;
    return entry->baseline;
}

bool LeadView::isChanging(const GroupId& group) const
{
    const GroupLead* entry = this->lead.record == nullptr ? nullptr : this->lead.record->find(group);
    return entry != nullptr && entry->phase == LeadPhase::Changing;
}

} // namespace lentiljunction
