#pragma once

#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <optional>

namespace lentiljunction {

/// A primary together with the generation under which it leads.
struct PrimaryTenure {
    UpstreamId upstream;
    std::uint64_t generation = 0;

    friend bool operator==(const PrimaryTenure& left, const PrimaryTenure& right) { return left.upstream == right.upstream && left.generation == right.generation; }
    friend bool operator!=(const PrimaryTenure& left, const PrimaryTenure& right) { return !(left == right); }
};

/// What one instance believes of the primaries, and until when it may act on it.
///
/// The belief comes from a linearizable read of the lead record, or from an instance that made one.
/// Whoever replaces a primary first writes that to the record and then waits for at least
/// `leaseDuration`, or until each instance has confirmed that it took note. So a primary that is in
/// force at a moment within the permit has not been replaced before that moment.
///
/// Immutable; the control thread makes a new view on each change, and the traffic thread reads it.
///
/// @see LeaseTracker
struct PrimaryView {
    VersionedPrimaryRecord latest;
    /// The permit ends here, on the clock that counts suspensions.
    BootTime leaseEnd;

    /// @returns whether the view may be acted upon
    bool hasValidLease(BootTime now) const { return this->latest.record != nullptr && now < this->leaseEnd; }

    /// @returns the primary of a group, whether or not the permit is valid; nothing while it changes
    std::optional<PrimaryTenure> findPrimaryTenure(const GroupId& group, const UpstreamList& upstreams) const;

    /// @returns how often the group's primary was replaced; the count rises when the new one is in force
    std::uint64_t getGeneration(const GroupId& group) const;

    /// @returns the head that the primary's log had when it took the lead, or nothing
    std::optional<LogPoint> findBaseline(const GroupId& group) const;

    /// @returns whether the group's primary is being replaced
    bool isChanging(const GroupId& group) const;
};

} // namespace lentiljunction
