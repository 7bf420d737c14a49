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

/// Determines, for one instance, how long promotion calls of the primary record may still take effect.
///
/// Nothing but time ends a call: a response shows neither that no earlier call is still on its way nor that the call is not
/// carried out a second time. The lifetime counts from when this instance first sees the call in an entry that names a
/// primary, which is after the call was sent, so instances need no common clock.
///
/// Not thread-safe; the control thread owns it.
class OpenPromotionTracker {
public:
    /// Processes the newest known record.
    ///
    /// @param now when it is processed, not before it was written
    void onRecord(const PrimaryRecord& record, BootTime now);

    /// @returns whether a call of an entry can no longer take effect
    bool hasEnded(const GroupId& group, const OpenPromotion& promotion, BootTime now) const;

    /// @returns for each group with an open call for another upstream than its primary, until when that call may replace
    ///     the primary
    const std::map<GroupId, BootTime>& getReplaceableUntil() const { return this->replaceableUntil; }

private:
    /// When each call was first seen in an entry that names a primary.
    std::map<std::pair<GroupId, OpenPromotion>, BootTime> seenAt;
    std::map<GroupId, BootTime> replaceableUntil;
};

} // namespace lentiljunction
