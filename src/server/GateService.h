#pragma once

#include "UpstreamGate.h"
#include "lentiljunction/routing/GateMap.h"

#include <map>
#include <memory>
#include <set>

namespace lentiljunction {

/// All gates of this instance, with the state of their groups.
///
/// Belongs to the traffic thread.
class GateService {
public:
    /// @param dependencies the objects that the gates use; must outlive this object
    explicit GateService(UpstreamGate::Dependencies dependencies);

    /// Applies a newer bundle.
    void setBundle(std::shared_ptr<const Bundle> newBundle);

    /// Applies a newer gate map.
    void setGates(std::shared_ptr<const GateMap> newGates);

    /// Sets the upstreams that are leaving.
    void setLeaving(std::set<UpstreamId> newLeaving);

    /// Runs a request at one of this instance's upstreams.
    void execute(HopRequest hop, UpstreamGate::ResponseHandler handler);

    /// Processes the status that a probe returned.
    void onStatus(const DatabaseId& database, const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt);

    /// Sets whether a group's primary answers probes, as determined on the control thread.
    void onPrimaryReachable(const DatabaseId& database, bool isReachable);

    /// Resolves writes and advances all gates. Call it every few milliseconds.
    void onTick();

    /// @returns whether nothing waits or runs at any gate
    bool isIdle() const;

    /// @returns the groups whose gates got requests since the last call
    std::vector<DatabaseId> takeActiveGroups();

private:
    UpstreamGate::GateRole getGateRole(const UpstreamId& upstream) const;
    GroupState& getGroup(const DatabaseConfig& database);
    UpstreamGate& getGate(const DatabaseConfig& database, const UpstreamConfig& upstream);

    UpstreamGate::Dependencies dependencies;
    std::shared_ptr<const Bundle> bundle;
    std::shared_ptr<const GateMap> gates;
    std::set<UpstreamId> leaving;
    std::map<DatabaseId, std::unique_ptr<GroupState>> groups;
    std::map<UpstreamId, std::unique_ptr<UpstreamGate>> upstreams;
    std::set<DatabaseId> activeGroups;
};

} // namespace lentiljunction
