#pragma once

#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// Verifies without the store that a primary had not been replaced when it answered a statement.
///
/// A promotion is visible in the status of the promoted upstream, and its term in the status of each
/// upstream that follows it. All statuses must be requested after the answer arrived. If the primary
/// is still primary and every other upstream of the group is a replica in no higher term, then no
/// promotion had taken effect before the answer.
///
/// @param primary the status of the primary; nothing when it did not respond
/// @param others the status of each other upstream of the group; nothing for one that did not respond
/// @returns whether the primary was verified
inline bool isPrimaryVerified(const std::optional<ReplicationStatus>& primary, const std::vector<std::optional<ReplicationStatus>>& others)
{
    // If only the primary is known, the group may have upstreams that are not listed yet.
    if (!primary || !primary->isPrimary || others.empty())
        return false;
    for (const std::optional<ReplicationStatus>& other : others) {
        if (!other || other->isPrimary || other->term > primary->term)
            return false;
    }
    return true;
}

/// Finds the upstreams whose status a verification of a primary needs: the others that are listed, and those that an open
/// call may promote.
///
/// @param openPromotions the promotion calls of the group that may still take effect
/// @returns nothing when an upstream that an open call may promote is not listed, so that it cannot be queried
inline std::optional<std::set<UpstreamId>> findVerifyingUpstreams(const GroupId& group, const UpstreamId& primary, const UpstreamList& upstreams, const std::vector<OpenPromotion>& openPromotions)
{
    std::set<UpstreamId> verifying;
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : upstreams.entries) {
        if (entry.second.group == group && entry.first != primary)
            verifying.insert(entry.first);
    }
    for (const OpenPromotion& promotion : openPromotions) {
        if (promotion.upstream != primary && verifying.count(promotion.upstream) == 0)
            return std::nullopt;
    }
    return verifying;
}

} // namespace lentiljunction
