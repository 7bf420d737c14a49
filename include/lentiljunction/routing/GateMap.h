#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/membership/Membership.h"

#include <unordered_map>
#include <vector>

namespace lentiljunction {

/// Maps each upstream to its gate, for one list of members and one bundle.
///
/// The gate of an upstream is the live instance with the highest rendezvous score in the upstream's
/// availability zone; if the zone has no live instance, the one with the highest score in all other zones.
/// The instance with the second highest score takes over while the first is unreachable.
///
/// Immutable and safe to read from any thread.
class GateMap {
public:
    /// The number of instances that accept work for one upstream.
    static constexpr std::size_t numCandidates = 2;

    /// @param members a snapshot of the members
    /// @param bundle the bundle in force
    GateMap(const MemberList& members, const Bundle& bundle);

    /// @param upstream the upstream
    /// @returns up to numCandidates instances, the gate first; empty for an unknown upstream
    const std::vector<InstanceId>& getCandidates(const UpstreamId& upstream) const;

    /// @returns whether the instance is the gate of the upstream
    bool isGate(const InstanceId& instance, const UpstreamId& upstream) const;

    /// @returns whether the instance accepts work for the upstream
    bool isCandidate(const InstanceId& instance, const UpstreamId& upstream) const;

private:
    std::unordered_map<UpstreamId, std::vector<InstanceId>> candidates;
};

} // namespace lentiljunction
