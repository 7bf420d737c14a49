#include "lentiljunction/leadership/OpenPromotionTracker.h"

namespace lentiljunction {

void OpenPromotionTracker::onRecord(const PrimaryRecord& record, BootTime now)
{
    std::map<std::pair<GroupId, OpenPromotion>, BootTime> stillListed;
    for (const std::pair<const GroupId, PrimaryEntry>& group : record.groups) {
        for (const OpenPromotion& promotion : group.second.openPromotions) {
            std::pair<GroupId, OpenPromotion> key(group.first, promotion);
            std::map<std::pair<GroupId, OpenPromotion>, BootTime>::const_iterator known = this->seenAt.find(key);
            // While the group is changing, its coordinator may still send calls.
            if (known == this->seenAt.end() && group.second.phase == PrimaryPhase::Changing)
                continue;
            stillListed.emplace(std::move(key), known == this->seenAt.end() ? now : known->second);
        }
    }
    this->seenAt = std::move(stillListed);
}

bool OpenPromotionTracker::isOlder(const GroupId& group, const OpenPromotion& promotion, Duration age, BootTime now) const
{
    std::map<std::pair<GroupId, OpenPromotion>, BootTime>::const_iterator known = this->seenAt.find({ group, promotion });
    return known != this->seenAt.end() && now - known->second >= age;
}

} // namespace lentiljunction
