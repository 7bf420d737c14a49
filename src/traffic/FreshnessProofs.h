#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/session/TermHistory.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Keeps the log heads of primaries that prove how fresh the data of a replica is.
///
/// The log head of a primary, requested at some time, covers every commit that was acknowledged before
/// that time. A replica whose log reaches this head therefore has data that is at least as fresh.
///
/// Times are on the clock that also runs while the machine is suspended. Not thread-safe; the traffic
/// thread owns it.
class FreshnessProofs {
public:
    /// The newest proof of one group.
    struct Newest {
        GroupId group;
        std::uint64_t generation = 0;
        BootTime requestedAt;
        LogPoint head;
    };

    /// Records that a group has a new primary.
    ///
    /// Every commit of an earlier primary that survived is at or before the log head with which the new primary
    /// began, so proofs of the previous generation stay valid up to this head. Proofs of earlier generations are
    /// dropped. A proof whose log head is in the term of the new primary covers commits of that primary, although it
    /// was added in an earlier generation: it keeps its head.
    ///
    /// @param primary the entry of the new primary
    void onNewPrimary(const GroupId& group, const PrimaryEntry& primary);

    /// Adds the log head of a primary.
    ///
    /// @param generation the generation of the primary
    /// @param requestedAt when the request was sent; the lease must have been valid when the response arrived
    void add(const GroupId& group, std::uint64_t generation, BootTime requestedAt, LogPoint head);

    /// @param notBefore the proof must cover every commit acknowledged before this moment
    /// @returns the lowest point that a replica's log must reach, or nothing without a proof
    std::optional<LogPoint> findRequired(const GroupId& group, std::uint64_t generation, BootTime notBefore) const;

    /// @returns when the newest proof was requested, or nothing
    std::optional<BootTime> findNewest(const GroupId& group, std::uint64_t generation) const;

    /// @returns the newest proof of each group, for other instances
    std::vector<Newest> listNewest() const;

private:
    struct Proof {
        BootTime requestedAt;
        LogPoint head;
    };

    struct History {
        std::uint64_t generation = 0;
        std::deque<Proof> proofs;
    };

    std::map<GroupId, History> histories;
};

} // namespace lentiljunction
