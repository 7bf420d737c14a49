#pragma once

#include "../traffic/LatencyEstimate.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/workspaces/WorkspaceId.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// Chooses which of an upstream's lenders to ask for a connection.
///
/// The instances spread over the lenders. An instance leaves a lender that does not respond, and one that
/// responds much more slowly than the other, and returns to it when the back-off is over or the slow responses
/// are old. Connections that are already borrowed are not affected.
///
/// Not thread-safe; the traffic thread owns it.
class LenderSelector {
public:
    /// @param self this instance
    explicit LenderSelector(const InstanceId& self);

    /// @param lenders the lenders of an upstream
    /// @param tried lenders that were already asked for this connection
    /// @returns the lender to ask, or nothing when this instance must use its own connections
    std::optional<FleetMember> choose(const std::vector<FleetMember>& lenders, const std::set<InstanceId>& tried, TimePoint now) const;

    /// Chooses by workspace, so that each lender keeps connections of some workspaces only. A lender that is not the
    /// first choice for a workspace borrows from the one that is.
    ///
    /// @param lenders the lenders of the upstream
    /// @param tried lenders that were already asked for this connection
    /// @returns the lender to ask, or nothing when this instance must use its own connections
    std::optional<FleetMember> chooseForWorkspace(std::vector<FleetMember> lenders, const UpstreamId& upstream, const WorkspaceId& workspace, const std::set<InstanceId>& tried, TimePoint now) const;

    /// Records that a lender responded to a request.
    ///
    /// @param took time from the request to the first response, which does not include the wait for a connection
    void onResponse(const InstanceId& lender, Duration took, TimePoint now);

    /// Records that a lender did not respond in time or that its link was lost.
    void onSilence(const InstanceId& lender, TimePoint now);

    /// Records that a lender is stopping.
    void onStopping(const InstanceId& lender, TimePoint now);

    /// @returns whether a lender is not asked at present
    bool isAvoided(const InstanceId& lender, TimePoint now) const;

private:
    struct Lender {
        LatencyEstimate responseTime;
        /// The average since the lender was last not asked for a while.
        Duration recentResponseTime { 0 };
        TimePoint respondedAt;
        Duration backoff { 0 };
        TimePoint avoidedUntil;
    };

    Duration getResponseTime(const InstanceId& lender, TimePoint now) const;
    /// @returns zero when the lender did not respond recently, so that it is asked again
    Duration getRecentResponseTime(const InstanceId& lender, TimePoint now) const;

    InstanceId self;
    /// Decides which lender this instance prefers.
    std::uint64_t preference;
    std::map<InstanceId, Lender> known;
};

} // namespace lentiljunction
