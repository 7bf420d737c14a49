#pragma once

#include "lentiljunction/leadership/PrimaryView.h"

namespace lentiljunction {

/// How long a read of the lead record may be acted upon. A true cut of an instance delays the next
/// promotion by as much, and reads of a bounded age have to do without a primary meanwhile; a store that
/// is away for longer is made up for by evidence from the upstreams.
constexpr std::chrono::milliseconds leaseDuration { 1500 };
/// What a promotion waits beyond the span: for clocks that run apart and for timers that fire late.
constexpr std::chrono::milliseconds leaseMargin { 100 };

/// Keeps one instance's belief about the primaries and the permit to act on it.
///
/// Permits are measured on the clock that counts suspensions and begin when a read was sent, never
/// when its answer came.
///
/// Not thread-safe; the control thread owns it.
///
/// @see PrimaryView
class LeaseTracker {
public:
    /// @param self this instance, which gets no permit while the record has it as retired
    explicit LeaseTracker(InstanceId self)
        : self(std::move(self))
    {
    }

    /// Notes what a linearizable read, or a conditional write, gave.
    ///
    /// @param sentAt when the call was sent
    /// @returns whether the record is another one than before
    bool onStoreResponse(const VersionedPrimaryRecord& versioned, BootTime sentAt);

    /// Notes what another instance believes.
    ///
    /// @param remaining how long its permit was valid when it answered
    /// @param sentAt when it was asked
    /// @returns whether the record is another one than before
    bool onPeerResponse(const VersionedPrimaryRecord& versioned, Duration remaining, BootTime sentAt);

    /// @returns how long the permit is valid, zero when it has run out
    Duration getRemaining(BootTime now) const;

    /// @returns whether this instance has to remove itself from the retired ones
    bool isRetired() const;

    /// @returns the belief
    const PrimaryView& getView() const { return this->view; }

private:
    bool update(const VersionedPrimaryRecord& versioned, BootTime leaseEnd);

    InstanceId self;
    PrimaryView view;
};

} // namespace lentiljunction
