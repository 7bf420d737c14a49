#pragma once

#include "lentiljunction/fleet/FleetStore.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lentiljunction {

/// Chooses the instances that hold the connections to an upstream and lend them to the others.
///
/// In a large fleet an upstream accepts fewer connections than there are instances. An instance would then open
/// a connection for nearly every statement, which takes longer than the statement and occupies the upstream.
/// Instead a few instances of each availability zone keep connections open and lend them within the zone. There
/// are several for each upstream, so that one that is lost, frozen or slow can be left at once.
///
/// All instances compute the same plan from the same list. Differing lists do no harm: every instance lends
/// connections to any upstream on request.
class LendingPlan {
public:
    /// A plan without lenders.
    LendingPlan() = default;

    /// @param members the active instances
    /// @param zone the availability zone of this instance
    LendingPlan(const std::vector<FleetMember>& members, const ZoneId& zone);

    /// @returns the lenders of an upstream in this availability zone
    std::vector<FleetMember> chooseLenders(const UpstreamId& upstream) const;

    /// @returns the number of lenders of each upstream in all availability zones together
    std::size_t countLenders() const { return this->numLenders; }

private:
    /// An instance of this availability zone that lends connections.
    struct Candidate {
        FleetMember member;
        std::uint64_t hash = 0;
    };

    std::vector<Candidate> candidates;
    std::size_t numLenders = 0;
};

/// Computes how many connections to an upstream each of its users may keep open while they are idle.
///
/// Half of the connections stay free for restarted instances, because an upstream still counts connections
/// that were lost without being closed.
///
/// @param connectionLimit connections that the upstream accepts from all instances together
/// @param numUsers instances that use the upstream at the same time
/// @returns zero when the connections do not suffice for one per user
std::size_t computeConnectionShare(std::size_t connectionLimit, std::size_t numUsers);

/// Computes how many connections to an upstream each of its lenders keeps open while they are idle, where
/// connections belong to workspaces and every other instance borrows.
///
/// A quarter of the connections stays free for peaks, restarted lenders and instances that find no lender.
///
/// @param connectionLimit connections that the upstream accepts from all instances together
/// @param numLenders lenders of the upstream in all availability zones
/// @returns at least one
std::size_t computeLenderShare(std::size_t connectionLimit, std::size_t numLenders);

} // namespace lentiljunction
