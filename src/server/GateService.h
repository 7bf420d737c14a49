#pragma once

#include "UpstreamGate.h"
#include "lentiljunction/routing/GateMap.h"

#include <map>
#include <memory>
#include <set>

namespace lentiljunction {

/// All upstreams that this instance is a gate of.
///
/// Belongs to the traffic thread.
class GateService {
public:
    /// @param environment what the gates need; must outlive this object
    explicit GateService(UpstreamGate::Dependencies dependencies);

    /// Takes a newer bundle.
    void setBundle(std::shared_ptr<const Bundle> newBundle);

    /// Takes a newer member list.
    void setGates(std::shared_ptr<const GateMap> newGates);

    /// Takes the upstreams that leave.
    void setLeaving(std::set<UpstreamId> newLeaving);

    /// Runs a request at one of this instance's upstreams.
    void execute(HopRequest hop, UpstreamGate::AnswerHandler handler);

    /// Takes the answer of a probe.
    void onStatus(const DatabaseId& database, const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt);

    /// Takes the control thread's judgement of a primary.
    void onPrimaryReachable(const DatabaseId& database, bool isReachable);

    /// Lets time pass; call it every few milliseconds.
    void onTick();

    /// @returns whether nothing waits or runs at any gate
    bool isIdle() const;

    /// @returns the groups whose gates did work a moment ago
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
