#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/membership/Membership.h"

#include <unordered_map>
#include <vector>

namespace lentiljunction {

/// The gates of all upstreams, for one list of members and one bundle.
///
/// The gate of an upstream is the live instance of the upstream's own availability zone with the
/// highest rendezvous score; where the zone has no live instance, that of all other zones. The
/// second in the order takes over while the first is not reached.
///
/// Immutable; may be read from any thread.
class GateMap {
public:
    /// How many instances accept work for one upstream.
    static constexpr std::size_t numCandidates = 2;

    /// @param members the members at one instant
    /// @param bundle the bundle in force
    GateMap(const MemberList& members, const Bundle& bundle);

    /// @param upstream the upstream
    /// @returns up to numCandidates instances, the gate first; none for an unknown upstream
    const std::vector<InstanceId>& getCandidates(const UpstreamId& upstream) const;

    /// @returns whether the instance is the gate of the upstream
    bool isGate(const InstanceId& instance, const UpstreamId& upstream) const;

    /// @returns whether the instance accepts work for the upstream
    bool isCandidate(const InstanceId& instance, const UpstreamId& upstream) const;

private:
    std::unordered_map<UpstreamId, std::vector<InstanceId>> candidates;
};

} // namespace lentiljunction
