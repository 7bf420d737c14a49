#pragma once

#include "FreshnessProofs.h"
#include "ReadPlanner.h"
#include "UpstreamPool.h"
#include "lentiljunction/leadership/ChangeForecast.h"
#include "lentiljunction/leadership/LeadView.h"
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
struct ReadRequirement {
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
    std::optional<Leader> primary;
    /// The point that a replica's log must have reached.
    std::optional<LogPoint> required;
};

/// Proves without the store that a primary has not been replaced.
class PrimaryVerifier {
public:
    virtual ~PrimaryVerifier() = default;

    /// Asks the upstreams of a group.
    ///
    /// @param callback told whether the leader had not been replaced when this was called
    virtual void verify(const GroupId& group, const Leader& primary, std::function<void(bool isVerified)> callback) = 0;
};

/// What the traffic thread believes: routes, upstreams, primaries, connections, proofs of age.
///
/// Belongs to the traffic thread.
class TrafficState {
public:
    TrafficState(const UpstreamPool::Dependencies& dependencies, ZoneId zone);

    /// Takes a newer routing configuration.
    void setRoutes(std::shared_ptr<const RouteTable> newer);

    /// Takes a newer list of upstreams; pools of those that are gone are closed.
    void setUpstreams(std::shared_ptr<const UpstreamList> newer);

    /// Takes a newer belief of who leads.
    void setPrimaryView(const LeadView& newer);

    /// Takes the number of instances that share the upstreams' connections.
    void setNumInstances(std::size_t number);

    /// @returns the primary of a group with its pool, or nothing while it may not be used
    std::optional<Target> findPrimary(const GroupId& group);

    /// @returns the upstream that serves a read soonest, or nothing when none may
    std::optional<Target> findForRead(const ReadRequirement& requirement);

    /// @returns whether a primary is the one in force as far as is known here, with or without a permit
    bool isKnownPrimary(const GroupId& group, const Leader& primary) const;

    /// @returns whether the permit to act on the belief is valid now
    bool isPermitted() const { return this->view.isPermitted(this->getClock().bootNow()); }

    /// Takes the source of proofs for the time without a permit.
    void setVerifier(PrimaryVerifier& source) { this->verifier = &source; }

    /// @returns the source of proofs
    PrimaryVerifier& getVerifier() const { return *this->verifier; }

    /// The upstreams of a group have shown that its primary was not replaced.
    void onPrimaryVerified(const GroupId& group, const Leader& primary);

    /// The upstreams of a group could not show that its primary was not replaced.
    void onPrimaryVerificationFailed(const GroupId& group) { this->verifiedPrimaries.erase(group); }

    /// Notes the head of a primary's log after its lead was proved.
    ///
    /// @param askedAt when the question was sent
    void onProvedHead(const GroupId& group, const Leader& primary, const LogPoint& head, BootTime askedAt);

    /// Notes the head of the log that an upstream told.
    ///
    /// @param askedAt when the question was sent
    void onHead(const UpstreamId& upstream, const LogPoint& head, BootTime askedAt);

    /// @returns the head of an upstream's log when it last told one
    std::optional<LogPoint> findLastKnownHead(const UpstreamId& upstream) const;

    /// @returns the routing configuration, or nullptr before the first
    const std::shared_ptr<const RouteTable>& getRoutes() const { return this->routes; }

    const LeadView& getView() const { return this->view; }
    const std::shared_ptr<const UpstreamList>& getUpstreams() const { return this->upstreams; }
    EventLoop& getLoop() const { return this->dependencies.loop; }
    const Clock& getClock() const { return this->dependencies.clock; }

    /// The primary of a group answers, or cannot be used any more.
    void setPrimaryUsable(const GroupId& group, bool isUsable);

    /// @returns when a missing primary is expected back, or nothing when none is missing
    std::optional<TimePoint> getExpectedReturn(const GroupId& group) const { return this->forecast.getExpectedReturn(group, this->getClock().now()); }

    /// Adds what is known of the upstreams and of the age of the groups' logs to the metrics.
    void updateMetrics(GatewayMetrics& metrics) const;

    /// @returns when the newest proof of a group's age was asked for, or nothing
    std::optional<BootTime> findNewestProof(const GroupId& group) const;

    /// @returns the newest proof of age of each group
    std::vector<FreshnessProofs::Newest> listNewestProofs() const { return this->proofs.listNewest(); }

    /// Takes proofs of age from another instance.
    void takeProofs(const std::vector<FreshnessProofs::Newest>& others);

    /// Breaks connections off that left a question unanswered for too long.
    void failUnresponsiveConnections();

    /// @returns the pool of an upstream, made if need be; nullptr when the upstream is gone
    std::shared_ptr<UpstreamPool> findPool(const UpstreamId& upstream);

private:
    struct KnownHead {
        LogPoint head;
        BootTime at;
    };

    struct Tenure {
        std::uint64_t generation = 0;
        BootTime knownSince;
    };

    struct VerifiedPrimary {
        Leader primary;
        BootTime at;
    };

    bool mayUsePrimary(const GroupId& group, const Leader& primary) const;
    std::optional<LogPoint> findRequired(const ReadRequirement& requirement, std::uint64_t generation, bool& hasProof) const;
    void applyShare(UpstreamPool& pool) const;
    std::size_t countUsers(const UpstreamEntry& upstream) const;

    UpstreamPool::Dependencies dependencies;
    ZoneId zone;
    std::shared_ptr<const RouteTable> routes;
    std::shared_ptr<const UpstreamList> upstreams = std::make_shared<UpstreamList>();
    LeadView view;
    std::size_t numInstances = 1;
    std::map<UpstreamId, std::shared_ptr<UpstreamPool>> pools;
    std::map<UpstreamId, KnownHead> lastKnownHeads;
    std::map<GroupId, Tenure> tenures;
    FreshnessProofs proofs;
    ChangeForecast forecast;
    PrimaryVerifier* verifier = nullptr;
    std::map<GroupId, VerifiedPrimary> verifiedPrimaries;
};

} // namespace lentiljunction
