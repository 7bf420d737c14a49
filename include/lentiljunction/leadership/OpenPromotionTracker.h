#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <chrono>
#include <map>
#include <utility>

namespace lentiljunction {

/// How long after it was sent a promotion call may take effect. The platform states no bound. Covers a delay of 6 s, as its
/// store shows for late writes, and 1 s for the promotion.
constexpr std::chrono::milliseconds promotionCallLifetime { 8000 };
/// How long an upstream that was called may be silent. After it, an available primary counts for more than a promotion that
/// no upstream in reach has heard of.
constexpr std::chrono::milliseconds silentCallLimit { 15000 };

/// Determines when promotion calls of the primary record can no longer take effect.
///
/// A response ends no call, unless it refuses it: it shows neither that no earlier call is still on its way nor that the
/// platform does not carry it out a second time. The lifetime counts from when this instance first sees the call in an entry that names a primary,
/// which is after the call was sent, so instances need no common clock. That a call has ended does not show whether it took
/// effect.
///
/// Not thread-safe; the control thread owns it.
class OpenPromotionTracker {
public:
    /// Processes the newest known record.
    ///
    /// @param now when it is processed, not before it was written
    void onRecord(const PrimaryRecord& record, BootTime now);

    /// @returns whether a call of an entry can no longer take effect
    bool hasEnded(const GroupId& group, const OpenPromotion& promotion, BootTime now) const { return this->isOlder(group, promotion, promotionCallLifetime, now); }

    /// @returns whether a call of an entry ended so long ago that an upstream that is still silent is no longer waited for
    bool isSilenceAccepted(const GroupId& group, const OpenPromotion& promotion, BootTime now) const { return this->isOlder(group, promotion, silentCallLimit, now); }

private:
    bool isOlder(const GroupId& group, const OpenPromotion& promotion, Duration age, BootTime now) const;

    /// When each call was first seen in an entry that names a primary.
    std::map<std::pair<GroupId, OpenPromotion>, BootTime> seenAt;
};

} // namespace lentiljunction
