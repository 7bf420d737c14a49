#pragma once

#include "lentiljunction/leadership/Failover.h"

#include <algorithm>
#include <vector>

namespace lentiljunction {

/// Takes the actions of a failover, and accepts the upstream that is to be called into the primary record at once.
inline std::vector<Failover::Action> takeActionsAndRecordPromotion(Failover& failover, BootTime bootNow, TimePoint now)
{
    std::vector<Failover::Action> actions = failover.takeActions(bootNow, now);
    bool isRecording = std::any_of(actions.begin(), actions.end(), [](const Failover::Action& action) { return action.kind == Failover::Action::Kind::RecordPromotion; });
    if (!isRecording)
        return actions;
    failover.onPromotionRecorded(false, now);
    for (const Failover::Action& action : failover.takeActions(bootNow, now)) {
        actions.push_back(action);
        if (action.kind == Failover::Action::Kind::Promote)
            failover.onPromotionSent();
    }
    return actions;
}

} // namespace lentiljunction
