#pragma once

#include "lentiljunction/leadership/Failover.h"

#include <algorithm>
#include <vector>

namespace lentiljunction {

inline bool hasAction(const std::vector<Failover::Action>& actions, Failover::Action::Kind kind)
{
    return std::any_of(actions.begin(), actions.end(), [kind](const Failover::Action& action) { return action.kind == kind; });
}

/// Takes the actions of a failover, reads the list of upstreams, which does not change, and accepts the upstream that is to be
/// called into the primary record at once.
inline std::vector<Failover::Action> takeActionsAndRecordPromotion(Failover& failover, BootTime bootNow, TimePoint now)
{
    std::vector<Failover::Action> actions = failover.takeActions(bootNow, now);
    if (hasAction(actions, Failover::Action::Kind::RefreshUpstreams)) {
        failover.onUpstreamsRefreshed(true);
        for (const Failover::Action& action : failover.takeActions(bootNow, now))
            actions.push_back(action);
    }
    if (!hasAction(actions, Failover::Action::Kind::RecordPromotion))
        return actions;
    failover.onPromotionRecorded(false, now);
    for (const Failover::Action& action : failover.takeActions(bootNow, now)) {
        actions.push_back(action);
        if (action.kind == Failover::Action::Kind::Promote)
            failover.onPromotionSent(now);
    }
    return actions;
}

} // namespace lentiljunction
