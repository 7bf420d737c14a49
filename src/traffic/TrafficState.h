#pragma once

#include "PositionProofs.h"
#include "ReadPlanner.h"
#include "UpstreamPool.h"
#include "lentiljunction/leadership/FailoverForecast.h"
#include "lentiljunction/leadership/PrimaryView.h"
#include "lentiljunction/metrics/GatewayMetrics.h"
#include "lentiljunction/routes/RouteTable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lentiljunction {

/// A commit that a session made, with the generation of the primary that took it.
struct OwnCommit {
    LogPoint point;
    std::uint64_t generation = 0;
};

/// What a read must see.
struct ReadNeed {
    /// The route by which it goes.
    const Route* route = nullptr;
    /// When the first byte of the read, or of its transaction, arrived.
    BootTime arrivedAt;
    /// The session's last commit.
    std::optional<OwnCommit> ownCommit;
    /// Upstreams that were tried already.
    std::set<UpstreamId> tried;
};

/// Where a statement goes.
struct Target {
    std::shared_ptr<UpstreamPool> pool;
    /// Set when the upstream counts as the primary.
    std::optional<PrimaryTenure> leader;
    /// The point that a replica's log must have reached.
    std::optional<LogPoint> required;
};

/// Proves without the store that a primary has not been replaced.
class EvidenceSource {
public:
    virtual ~EvidenceSource() = default;

    /// Asks the upstreams of a group.
    ///
    /// @param callback told whether the leader had not been replaced when this was called
    virtual void prove(const GroupId& group, const PrimaryTenure& leader, std::function<void(bool isProved)> callback) = 0;
};

/// What the traffic thread believes: routes, upstreams, primaries, connections, proofs of age.
///
/// Belongs to the traffic thread.
class TrafficState {
public:
    TrafficState(const UpstreamPool::Surroundings& surroundings, ZoneId zone);

    /// Takes a newer routing configuration.
    void setRoutes(std::shared_ptr<const RouteTable> newer);

    /// Takes a newer list of upstreams; pools of those that are gone are closed.
    void setUpstreams(std::shared_ptr<const UpstreamList> newer);

    /// Takes a newer belief of who leads.
    void setLead(const PrimaryView& newer);

    /// Takes the number of instances that share the upstreams' connections.
    void setNumInstances(std::size_t number);

    /// @returns the primary of a group with its pool, or nothing while it may not be used
    std::optional<Target> findPrimary(const GroupId& group);

    /// @returns the upstream that serves a read soonest, or nothing when none may
    std::optional<Target> findForRead(const ReadNeed& need);

    /// @returns whether a primary is the one in force as far as is known here, with or without a permit
    bool isBelievedLeader(const GroupId& group, const PrimaryTenure& leader) const;

    /// @returns whether the permit to act on the belief is valid now
    bool hasValidLease() const { return this->view.hasValidLease(this->getClock().bootNow()); }

    /// Takes the source of proofs for the time without a permit.
    void setEvidence(EvidenceSource& source) { this->evidence = &source; }

    /// @returns the source of proofs
    EvidenceSource& getEvidence() const { return *this->evidence; }

    /// The upstreams of a group have shown that its primary was not replaced.
    void onLeadProved(const GroupId& group, const PrimaryTenure& leader);

    /// The upstreams of a group could not show that its primary was not replaced.
    void onLeadUnproved(const GroupId& group) { this->leadProofs.erase(group); }

    /// Notes the head of a primary's log after its lead was proved.
    ///
    /// @param askedAt when the question was sent
    void onProvedHead(const GroupId& group, const PrimaryTenure& leader, const LogPoint& head, BootTime askedAt);

    /// Notes the head of the log that an upstream told.
    ///
    /// @param askedAt when the question was sent
    void onHead(const UpstreamId& upstream, const LogPoint& head, BootTime askedAt);

    /// @returns the head of an upstream's log when it last told one
    std::optional<LogPoint> findSeenHead(const UpstreamId& upstream) const;

    /// @returns the routing configuration, or nullptr before the first
    const std::shared_ptr<const RouteTable>& getRoutes() const { return this->routes; }

    const PrimaryView& getView() const { return this->view; }
    const std::shared_ptr<const UpstreamList>& getUpstreams() const { return this->upstreams; }
    EventLoop& getLoop() const { return this->surroundings.loop; }
    const Clock& getClock() const { return this->surroundings.clock; }

    /// The primary of a group answers, or cannot be used any more.
    void notePrimary(const GroupId& group, bool isUsable);

    /// @returns when a missing primary is expected back, or nothing when none is missing
    std::optional<TimePoint> getExpectedReturn(const GroupId& group) const { return this->forecast.getExpectedReturn(group, this->getClock().now()); }

    /// Adds what is known of the upstreams and of the age of the groups' logs to the metrics.
    void exportFigures(GatewayMetrics& metrics) const;

    /// @returns when the newest proof of a group's age was asked for, or nothing
    std::optional<BootTime> findNewestProof(const GroupId& group) const;

    /// @returns the newest proof of age of each group
    std::vector<PositionProofs::Newest> listNewestProofs() const { return this->proofs.listNewest(); }

    /// Takes proofs of age from another instance.
    void takeProofs(const std::vector<PositionProofs::Newest>& others);

    /// Breaks connections off that left a question unanswered for too long.
    void dropSilentLinks();

    /// @returns the pool of an upstream, made if need be; nullptr when the upstream is gone
    std::shared_ptr<UpstreamPool> findPool(const UpstreamId& upstream);

private:
    struct SeenHead {
        LogPoint head;
        BootTime at;
    };

    struct Reign {
        std::uint64_t generation = 0;
        BootTime knownSince;
    };

    struct Proof {
        PrimaryTenure leader;
        BootTime at;
    };

    bool mayUse(const GroupId& group, const PrimaryTenure& leader) const;
    std::optional<LogPoint> findRequired(const ReadNeed& need, std::uint64_t generation, bool& isProved) const;
    void applyShare(UpstreamPool& pool) const;
    std::size_t countUsers(const UpstreamEntry& upstream) const;

    UpstreamPool::Surroundings surroundings;
    ZoneId zone;
    std::shared_ptr<const RouteTable> routes;
    std::shared_ptr<const UpstreamList> upstreams = std::make_shared<UpstreamList>();
    PrimaryView view;
    std::size_t numInstances = 1;
    std::map<UpstreamId, std::shared_ptr<UpstreamPool>> pools;
    std::map<UpstreamId, SeenHead> seenHeads;
    std::map<GroupId, Reign> reigns;
    PositionProofs proofs;
    FailoverForecast forecast;
    EvidenceSource* evidence = nullptr;
    std::map<GroupId, Proof> leadProofs;
};

} // namespace lentiljunction
