#include "ReplaceableGroupLog.h"

#include "lentiljunction/core/LogEvents.h"

#include <string>
#include <utility>

namespace lentiljunction {

namespace {

    std::string describePrimary(const PrimaryView& view, const GroupId& group)
    {
        const PrimaryEntry* entry = view.latest.record->find(group);
        std::string text = "group=" + group.toString() + " primary=" + (entry == nullptr ? "" : entry->primary.toString());
        return text + " generation=" + std::to_string(view.getGeneration(group)) + " lead_revision=" + std::to_string(view.latest.revision.value());
    }

    std::string listCalls(const PrimaryView& view, const GroupId& group)
    {
        std::string text;
        const PrimaryEntry* entry = view.latest.record->find(group);
        if (entry == nullptr)
            return text;
        for (const OpenPromotion& promotion : entry->openPromotions)
            text += (text.empty() ? "" : ",") + promotion.upstream.toString() + "/" + std::to_string(promotion.epoch.value()) + "/" + std::to_string(promotion.generation);
        return text;
    }

} // namespace

void ReplaceableGroupLog::onView(const PrimaryView& view)
{
    if (view.latest.record == nullptr)
        return;
    std::set<GroupId> present;
    for (const std::pair<const GroupId, PrimaryEntry>& group : view.latest.record->groups) {
        if (!view.isReplaceable(group.first))
            continue;
        present.insert(group.first);
        if (this->replaceable.count(group.first) == 0)
            logEvent(events::primaryReplaceable, describePrimary(view, group.first) + " calls=" + listCalls(view, group.first));
    }
    for (const GroupId& group : this->replaceable) {
        if (present.count(group) == 0)
            logEvent(events::primarySettled, describePrimary(view, group));
    }
    this->replaceable = std::move(present);
}

} // namespace lentiljunction
