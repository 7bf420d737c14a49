#pragma once

#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// The upstreams that show whether a primary has been replaced.
struct VerificationScope {
    /// Each of these must respond.
    std::set<UpstreamId> required;
    /// Whether the lease excludes each other promotion.
    bool isLeased = false;
};

/// Finds the upstreams whose status a verification of a primary needs. Under a lease, only the open promotion calls of the
/// record can replace it; without one, any other upstream may be its successor.
///
/// @param openPromotions the open calls for other upstreams than the primary
/// @param isLeased PrimaryView::hasLeaseUpToOpenPromotions()
/// @returns nothing when an upstream that must respond is not listed, so that it cannot be queried
inline std::optional<VerificationScope> findVerificationScope(const GroupId& group, const UpstreamId& primary, const UpstreamList& upstreams, const std::vector<OpenPromotion>& openPromotions, bool isLeased)
{
    VerificationScope scope;
    scope.isLeased = isLeased;
    std::set<UpstreamId> listed;
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : upstreams.entries) {
        if (entry.second.group == group && entry.first != primary)
            listed.insert(entry.first);
    }
    if (!isLeased)
        scope.required = listed;
    for (const OpenPromotion& promotion : openPromotions) {
        if (listed.count(promotion.upstream) == 0)
            return std::nullopt;
        scope.required.insert(promotion.upstream);
    }
    return scope;
}

/// Verifies that a primary had not been replaced when it answered a statement.
///
/// A promotion is visible in the status of the promoted upstream, and its term in the status of each
/// upstream that follows it. All statuses must be requested after the answer arrived. If the primary
/// is still primary and every other upstream of the group is a replica in no higher term, then no
/// promotion had taken effect before the answer.
///
/// @param primary the status of the primary; nothing when it did not respond
/// @param others the status of each other upstream that was queried; nothing for one that did not respond
/// @returns whether the primary was verified
inline bool isPrimaryVerified(const VerificationScope& scope, const std::optional<ReplicationStatus>& primary, const std::map<UpstreamId, std::optional<ReplicationStatus>>& others)
{
    // If only the primary is known, the group may have upstreams that are not listed yet.
    if (!primary || !primary->isPrimary || (scope.required.empty() && !scope.isLeased))
        return false;
    for (const UpstreamId& upstream : scope.required) {
        std::map<UpstreamId, std::optional<ReplicationStatus>>::const_iterator status = others.find(upstream);
        if (status == others.end() || !status->second)
            return false;
    }
    for (const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& other : others) {
        if (other.second && (other.second->isPrimary || other.second->term > primary->term))
            return false;
    }
    return true;
}

} // namespace lentiljunction
