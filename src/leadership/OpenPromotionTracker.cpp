#include "lentiljunction/leadership/OpenPromotionTracker.h"

namespace lentiljunction {

void OpenPromotionTracker::onRecord(const PrimaryRecord& record, BootTime now)
{
    std::map<std::pair<GroupId, OpenPromotion>, BootTime> stillListed;
    this->replacements.clear();
    for (const std::pair<const GroupId, PrimaryEntry>& group : record.groups) {
        for (const OpenPromotion& promotion : group.second.openPromotions) {
            std::pair<GroupId, OpenPromotion> key(group.first, promotion);
            std::map<std::pair<GroupId, OpenPromotion>, BootTime>::const_iterator known = this->seenAt.find(key);
            // While the group is changing, its coordinator may still send calls.
            if (known == this->seenAt.end() && group.second.phase == PrimaryPhase::Changing)
                continue;
            BootTime since = known == this->seenAt.end() ? now : known->second;
            stillListed.emplace(key, since);
            // For the present primary, a call changes nothing.
            if (promotion.upstream != group.second.primary)
                this->replacements[group.first].push_back({ promotion.upstream, since + promotionCallLifetime, promotion.isSettled });
        }
    }
    this->seenAt = std::move(stillListed);
}

bool OpenPromotionTracker::hasEnded(const GroupId& group, const OpenPromotion& promotion, BootTime now) const
{
    std::map<std::pair<GroupId, OpenPromotion>, BootTime>::const_iterator known = this->seenAt.find({ group, promotion });
    return known != this->seenAt.end() && now - known->second >= promotionCallLifetime;
}

} // namespace lentiljunction
