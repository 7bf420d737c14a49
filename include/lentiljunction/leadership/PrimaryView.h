#pragma once

#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Identifies one tenure of a primary: the upstream, and the generation in which it is the primary.
struct PrimaryTenure {
    UpstreamId upstream;
    std::uint64_t generation = 0;

    friend bool operator==(const PrimaryTenure& left, const PrimaryTenure& right) { return left.upstream == right.upstream && left.generation == right.generation; }
    friend bool operator!=(const PrimaryTenure& left, const PrimaryTenure& right) { return !(left == right); }
};

/// @returns the upstream that claims to be the primary of a group, if it is the only one
std::optional<UpstreamId> findOnlyClaimant(const GroupId& group, const UpstreamList& upstreams);

/// The primaries as known to one instance, with its lease on the primary record.
///
/// The record comes from a linearizable read of the store, directly or through another instance. A
/// failover first writes to the record and then waits for at least `leaseDuration`, or until each
/// instance has confirmed the new record. So at any time within the lease, nothing but an open
/// promotion call can have replaced the primary in this view.
///
/// Immutable; the control thread creates a new view on each change, and the traffic thread reads it.
///
/// @see LeaseTracker
struct PrimaryView {
    VersionedPrimaryRecord latest;
    /// End of the lease, on the clock that keeps running while the machine is suspended.
    BootTime leaseEnd;

    /// @returns whether the instance may act on this view
    bool hasValidLease(BootTime now) const { return this->latest.record != nullptr && now < this->leaseEnd; }

    /// @returns whether the instance may use the primary of a group without verification
    bool hasValidLease(const GroupId& group, BootTime now) const { return this->hasLeaseUpToOpenPromotions(group, now) && !this->isReplaceable(group); }

    /// @returns whether only open promotion calls can have replaced the primary of a group
    bool hasLeaseUpToOpenPromotions(const GroupId& group, BootTime now) const { return this->hasValidLease(now) && this->latest.record->isConfirmed(group); }

    /// @returns whether an open promotion call may replace the primary of a group, so that each answer of it needs a
    ///     verification
    bool isReplaceable(const GroupId& group) const { return !this->findOpenPromotions(group).empty(); }

    /// @returns the open promotion calls for other upstreams than the primary of a group; none while it is being replaced
    std::vector<OpenPromotion> findOpenPromotions(const GroupId& group) const;

    /// @param upstreams consulted for groups that have never had a failover
    /// @returns the primary of a group, regardless of the lease; nothing during a failover
    std::optional<PrimaryTenure> findPrimaryTenure(const GroupId& group, const UpstreamList& upstreams) const;

    /// @returns the number of completed failovers of the group
    std::uint64_t getGeneration(const GroupId& group) const;

    /// @returns the part of a group's log up to `point` that survived the last known failover
    /// @see PrimaryEntry::limitToSurviving()
    LogPoint limitToSurviving(const GroupId& group, const LogPoint& point) const;

    /// @returns whether a failover of the group is in progress
    bool isChanging(const GroupId& group) const;
};

} // namespace lentiljunction
