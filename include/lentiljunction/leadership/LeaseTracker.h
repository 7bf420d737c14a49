#pragma once

#include "lentiljunction/leadership/OpenPromotionTracker.h"
#include "lentiljunction/leadership/PrimaryView.h"

#include <map>

namespace lentiljunction {

/// How long an instance may act on a read of the primary record. When an instance is partitioned, the
/// next promotion is delayed by this time, and bounded-staleness reads have no primary meanwhile. When
/// the store is unreachable for longer, primaries are verified through the upstreams instead.
constexpr std::chrono::milliseconds leaseDuration { 1500 };
/// Time that a promotion waits in addition to the lease, for clock drift and late timers.
constexpr std::chrono::milliseconds leaseMargin { 100 };

/// Tracks the newest primary record known to one instance, and its lease on it.
///
/// Leases are measured on the clock that keeps running while the machine is suspended. They begin when
/// the read was sent, never when its response arrived.
///
/// Not thread-safe; the control thread owns it.
///
/// @see PrimaryView
class LeaseTracker {
public:
    /// @param self this instance, which gets no lease while the record lists it as retired
    LeaseTracker(InstanceId self, const Clock& clock)
        : self(std::move(self))
        , clock(clock)
    {
    }

    /// This process learnt that its instance is registered in an era of the store. Failovers that are announced from now on
    /// wait for its confirmation, so it may get leases that begin after this time, on records that were written in that era.
    void onRegistered(StoreEra era);

    /// Processes the result of a linearizable read or a conditional write. A record that was written in an earlier era of
    /// the store than it was read in grants no lease, since failovers may be missing from it.
    ///
    /// @param sentAt when the call was sent
    /// @returns whether the record is newer than the known one
    bool onStoreResponse(const VersionedPrimaryRecord& versioned, BootTime sentAt);

    /// Processes the record of another instance.
    ///
    /// @param remaining remaining lease of that instance when it responded
    /// @param sentAt when the request was sent
    /// @returns whether the record is newer than the known one
    bool onPeerResponse(const VersionedPrimaryRecord& versioned, Duration remaining, BootTime sentAt);

    /// @returns the remaining lease, zero when it has expired
    Duration getRemaining(BootTime now) const;

    /// @returns whether this instance is the coordinator of a failover of a group, and no other instance may have completed
    ///     one since; until then it may send the commands of the failover to upstreams
    bool isReplacing(const GroupId& group, BootTime now) const;

    /// @returns whether this instance must remove itself from the retired instances
    bool isRetired() const;

    /// @returns the newest record with the lease
    const PrimaryView& getView() const { return this->view; }

    /// @returns how long the promotion calls of the newest record may still take effect
    const OpenPromotionTracker& getOpenPromotions() const { return this->openPromotions; }

private:
    bool update(const VersionedPrimaryRecord& versioned, BootTime leaseEnd);
    /// @returns whether each failover that a lease does not show waits for this instance
    bool mayGetLease(StoreEra era, BootTime leaseStart) const;

    InstanceId self;
    const Clock& clock;
    /// When this process learnt of its registration in each era.
    std::map<StoreEra, BootTime> registeredAt;
    OpenPromotionTracker openPromotions;
    PrimaryView view;
};

} // namespace lentiljunction
