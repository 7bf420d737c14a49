#pragma once

#include "../lending/BorrowingSource.h"
#include "../lending/Lender.h"
#include "FreshnessProofs.h"
#include "ReadPlanner.h"
#include "ReplyMemory.h"
#include "UpstreamHealth.h"
#include "UpstreamPool.h"
#include "lentiljunction/admission/MemoryAccount.h"
#include "lentiljunction/interactive/SessionStatement.h"
#include "lentiljunction/leadership/FailoverForecast.h"
#include "lentiljunction/leadership/NewerTermDetector.h"
#include "lentiljunction/leadership/PrimaryVerification.h"
#include "lentiljunction/lending/LendingPlan.h"
#include "lentiljunction/metrics/GatewayMetrics.h"
#include "lentiljunction/routes/RouteConfirmation.h"
#include "lentiljunction/routes/RouteTable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lentiljunction {

class QuotaClient;

/// The data that a read must see, and the upstreams that it may use.
struct ReadRequirement {
    /// The route of the session's database.
    const Route* route = nullptr;
    /// When the first byte of the read, or of its transaction, arrived.
    BootTime arrivedAt;
    /// The log point of the session's last commit, if it made one.
    std::optional<LogPoint> ownCommit;
    /// Upstreams that were already tried.
    std::set<UpstreamId> tried;
};

/// @param mode the mode of the statement, or of the transaction that it belongs to
/// @returns whether only the primary may serve a statement
inline bool needsPrimary(const Route& route, AccessMode mode)
{
    return mode == AccessMode::Write || route.consistency == Consistency::Primary;
}

/// The upstream chosen for a statement.
struct Target {
    std::shared_ptr<ConnectionSource> source;
    /// Set when the upstream is used as the primary.
    std::optional<PrimaryTenure> primary;
    /// The log point that a replica must have reached.
    std::optional<LogPoint> required;
    /// Whether another upstream that is not to be avoided can serve the read.
    bool hasAlternative = false;
};

/// Why the primary of a group must not be used now.
enum class PrimaryObstacle {
    /// No primary record is known, or not exactly one upstream claims to be the primary.
    Unknown,
    /// The primary is being replaced.
    Changing,
    /// The lease on the primary record does not cover it, and it was not verified recently.
    NoLease,
    /// It is not in the list of upstreams.
    NotListed,
    /// It stops soon.
    Leaving,
};

/// The decision whether the primary of a group may be used.
struct PrimaryDecision {
    /// The known primary, regardless of whether it may be used.
    std::optional<PrimaryTenure> primary;
    /// Empty when the primary may be used.
    std::optional<PrimaryObstacle> obstacle;

    bool isUsable() const { return !this->obstacle; }
};

/// Verifies without the store that a primary has not been replaced.
class PrimaryVerifier {
public:
    virtual ~PrimaryVerifier() = default;

    /// Queries the upstreams of a group.
    ///
    /// @param callback receives whether the primary is verified not to have been replaced when this was called
    virtual void verify(const GroupId& group, const PrimaryTenure& primary, std::function<void(bool isVerified)> callback) = 0;
};

/// The state known to the traffic thread: routes, upstreams, primaries, connection pools and freshness proofs.
///
/// Not thread-safe; the traffic thread owns it.
class TrafficState : public Lender::SourceFinder {
public:
    TrafficState(const UpstreamPool::Dependencies& dependencies, ZoneId zone);

    /// Sets a newer routing configuration.
    ///
    /// @param newerConfirmation how long keys may be decided with it; unused for one without workspaces
    void setRoutes(std::shared_ptr<const RouteTable> newer, std::shared_ptr<const RouteConfirmation> newerConfirmation = nullptr);

    /// @returns how long keys may be decided with the routing configuration
    KeyFreshness getKeyFreshness() const { return this->confirmation == nullptr ? KeyFreshness() : this->confirmation->get(); }

    /// Sets a newer list of upstreams and closes the pools of removed ones.
    void setUpstreams(std::shared_ptr<const UpstreamList> newer);

    /// Sets a newer view of the primary record.
    void setPrimaryView(const PrimaryView& newer);

    /// Sets the instances that share the upstreams' connections.
    ///
    /// @param members the active instances
    /// @param numInstances the number of registered instances, of which some may be inactive
    void setMembers(const std::vector<FleetMember>& members, std::size_t numInstances);

    /// Sets the borrower that is used for upstreams with too few connections. Without one, this instance uses only
    /// its own connections.
    void setBorrower(Borrower& newBorrower) { this->borrower = &newBorrower; }

    /// Sets the client that decides on the limits of workspaces. Without one, limits are not enforced.
    void setQuota(QuotaClient& newQuota) { this->quota = &newQuota; }

    /// @returns the client that decides on the limits of workspaces, or nullptr
    QuotaClient* getQuota() const { return this->quota; }

    /// Finds the source of an upstream for a plan; never returns nullptr.
    using SourceLookup = std::function<std::shared_ptr<const ConnectionSource>(const UpstreamEntry& upstream)>;

    /// @returns whether the primary of a group may be used now, and if not, why
    PrimaryDecision decidePrimary(const GroupId& group) const;

    /// @returns the primary of a group with its pool, or nothing when it must not be used now
    std::optional<Target> findPrimary(const GroupId& group);

    /// Chooses an upstream for a read that replicas may serve.
    ///
    /// @param primary the decision on the primary of the route's group
    /// @param excluded when set, receives the upstreams of the group that are no candidates
    ReadPlan planRead(const ReadRequirement& requirement, const PrimaryDecision& primary, const SourceLookup& lookup, std::vector<ExcludedUpstream>* excluded) const;

    /// @returns what is known about an upstream
    ReadCandidate describeCandidate(const UpstreamEntry& upstream, const ConnectionSource& source, bool isPrimary) const;

    /// @returns the upstream with the lowest estimated completion time for a read, or nothing when none is suitable
    std::optional<Target> findReadTarget(const ReadRequirement& requirement);

    /// @returns whether this is the primary in the known primary record; does not check the lease
    bool isKnownPrimary(const GroupId& group, const PrimaryTenure& primary) const;

    /// @returns whether the lease on the primary record covers the primary of a group now
    bool hasValidLease(const GroupId& group) const { return this->view.hasValidLease(group, this->getClock().bootNow()) && !this->newerTerms.hasNewerTerm(group, this->view); }

    using NewerTermHandler = std::function<void(const GroupId& group, const UpstreamId& upstream, Term term, const NewerTermDetector::Action& action)>;

    /// Sets the handler of terms above that of the primary record. It may run within any call that receives a reply.
    void setNewerTermHandler(NewerTermHandler handler) { this->newerTermHandler = std::move(handler); }

    /// @returns whether a primary that was replaced and leads again may have written a log entry before its return
    bool mayPredateReturn(const GroupId& group, const PrimaryTenure& primary, const LogPoint& written) const { return this->newerTerms.mayPredateReturn(group, primary, written, this->view); }

    /// Records a term that an upstream reported.
    void onTerm(const UpstreamId& upstream, Term term);

    /// Sets the verifier that is used without a valid lease.
    void setVerifier(PrimaryVerifier& source) { this->verifier = &source; }

    /// @returns the verifier that is used without a valid lease
    PrimaryVerifier& getVerifier() const { return *this->verifier; }

    /// Records the term that the primary of a group leads, as all others confirm.
    void onLedTerm(const GroupId& group, const PrimaryTenure& primary, Term term) { this->newerTerms.onLed(group, primary, term); }

    /// Records that the primary of a group was verified.
    ///
    /// @param term the term that it leads
    void onPrimaryVerified(const GroupId& group, const PrimaryTenure& primary, Term term);

    /// @returns the upstreams that must respond to a verification, or nothing when one of them cannot be queried
    /// @see lentiljunction::findVerificationScope
    std::optional<VerificationScope> findVerificationScope(const GroupId& group, const PrimaryTenure& primary) const;

    /// Records that the primary of a group could not be verified.
    void onPrimaryVerificationFailed(const GroupId& group) { this->verifiedPrimaries.erase(group); }

    /// Adds the log head of a verified primary to the freshness proofs.
    ///
    /// @param requestedAt when the request was sent
    void addVerifiedHead(const GroupId& group, const PrimaryTenure& primary, const LogPoint& head, BootTime requestedAt);

    /// Records the log head that an upstream reported.
    ///
    /// @param requestedAt when the request was sent
    void onHead(const UpstreamId& upstream, const LogPoint& head, BootTime requestedAt);

    /// @returns the log head that an upstream last reported, or nothing
    std::optional<LogPoint> findLastKnownHead(const UpstreamId& upstream) const;

    /// @returns the routing configuration, or nullptr before the first
    const std::shared_ptr<const RouteTable>& getRoutes() const { return this->routes; }

    const ZoneId& getZone() const { return this->zone; }
    const PrimaryView& getView() const { return this->view; }
    const std::shared_ptr<const UpstreamList>& getUpstreams() const { return this->upstreams; }
    EventLoop& getLoop() const { return this->dependencies.loop; }
    const Clock& getClock() const { return this->dependencies.clock; }

    /// Records whether the primary of a group is usable, for the forecast of its return.
    void setPrimaryUsable(const GroupId& group, bool isUsable);

    /// @returns when a missing primary is expected back, or nothing when none is missing
    std::optional<TimePoint> getExpectedReturn(const GroupId& group) const { return this->getExpectedReturn(group, this->forecast); }

    /// @param isLost whether the group has no usable primary now
    /// @returns what getExpectedReturn() will return once a statement has found this out
    std::optional<TimePoint> forecastReturn(const GroupId& group, bool isLost) const;

    /// Updates the metrics of the upstreams and of the age of the freshness proofs.
    void updateMetrics(GatewayMetrics& metrics) const;

    /// @returns when the newest freshness proof of a group was requested, or nothing
    std::optional<BootTime> findNewestProof(const GroupId& group) const;

    /// @returns the newest freshness proof of each group
    std::vector<FreshnessProofs::Newest> listNewestProofs() const { return this->proofs.listNewest(); }

    /// Adds freshness proofs from another instance.
    void addFreshnessProofs(const std::vector<FreshnessProofs::Newest>& others);

    /// Fails connections with a command that is unanswered for too long.
    void failUnresponsiveConnections();

    /// @returns this instance's own connections to an upstream, created if needed; nullptr when the upstream is unknown
    std::shared_ptr<UpstreamPool> findPool(const UpstreamId& upstream);

    /// @returns where statements for an upstream get their connections; nullptr when the upstream is unknown
    std::shared_ptr<ConnectionSource> findSource(const UpstreamId& upstream);

    /// @returns the source of an upstream as findSource() returns it, without creating one that is kept
    std::shared_ptr<const ConnectionSource> peekSource(const UpstreamEntry& upstream) const;

    /// @returns whether connections to an upstream are so scarce that this instance borrows them
    bool mustBorrow(const UpstreamId& upstream) const { return this->borrowingSources.count(upstream) > 0; }

    std::shared_ptr<ConnectionSource> findOwnSource(const UpstreamId& upstream) override { return this->findPool(upstream); }
    void onLentResult(const OutlierDetector::Sample& sample) override { this->onResult(sample); }
    void onLentStarted(const UpstreamId& upstream) override { this->health.onStarted(upstream); }
    Duration getAvoidedFor(const UpstreamId& upstream) const override { return this->health.getAvoidedFor(upstream); }

    /// Records the result of a statement, if failing upstreams are to be ejected.
    void onResult(const OutlierDetector::Sample& sample);

    /// Lets pools discover how many concurrent statements their upstreams handle well. Call it before any pool exists.
    void discoverCapacity() { this->discoversCapacity = true; }

    /// @returns the detector of upstreams that fail much of their work
    UpstreamHealth& getHealth() { return this->health; }

    /// @returns the account of the memory that sessions hold
    MemoryAccount& getMemory() { return this->memory; }

    /// Counts a session that has ended and still sends.
    ///
    /// @param numUnsent the bytes that it has not sent
    /// @returns a receipt to destroy once its connection is closed
    std::shared_ptr<const void> holdClosing(std::size_t numUnsent);

    /// @returns whether commits of a group wait for replicas
    bool mayCommitsWait(const GroupId& group) const;

    /// @returns the number of sessions that have ended and still send
    std::size_t countClosing() const { return static_cast<std::size_t>(this->closingSessions.use_count()) - 1; }

    const MemoryAccount& getMemory() const { return this->memory; }

private:
    /// The log head that an upstream reported, and when the report arrived.
    struct KnownHead {
        LogPoint head;
        BootTime at;
    };

    /// The time for which the current primary of a group is the primary.
    struct Tenure {
        std::uint64_t generation = 0;
        /// When this instance first saw the generation.
        BootTime knownSince;
    };

    /// The last successful verification of a group's primary.
    struct VerifiedPrimary {
        PrimaryTenure primary;
        BootTime at;
    };

    /// @returns when a missing primary is expected back: not before a verification is possible, or not needed any more
    std::optional<TimePoint> getExpectedReturn(const GroupId& group, const FailoverForecast& used) const;
    /// @returns whether the lease, or a recent verification, allows the use of the primary
    bool mayUsePrimary(const GroupId& group, const PrimaryTenure& primary) const;
    /// @returns why an upstream is no candidate for a read, or nothing
    static std::optional<Exclusion> findExclusion(const ConnectionSource& source, bool isPrimary, bool hasProof);
    /// @param hasProof set to whether a freshness proof exists; without one only the primary may serve the read
    /// @returns the log point that a replica must have reached, or nothing
    std::optional<LogPoint> findRequired(const ReadRequirement& requirement, std::uint64_t generation, bool& hasProof) const;
    /// Decides for all upstreams whether connections are borrowed, and by whom they are kept open.
    void applyShares();
    void applyShare(const UpstreamEntry& upstream);
    /// @param pool this instance's own connections, with their share set
    /// @returns whether the own connections are too scarce, so that the lenders are asked
    bool needsLenders(const UpstreamPool& pool, const std::vector<FleetMember>& lenders) const { return this->borrower != nullptr && !lenders.empty() && (!pool.mayKeepIdle() || this->workspaceWeights != nullptr); }
    int findMaximumConnections(const GroupId& group) const;
    /// @returns the number of instances that are expected to use an upstream at the same time
    std::size_t countUsers(const UpstreamEntry& upstream) const;

    UpstreamPool::Dependencies dependencies;
    ZoneId zone;
    std::shared_ptr<const RouteTable> routes;
    std::shared_ptr<const RouteConfirmation> confirmation;
    std::shared_ptr<const UpstreamList> upstreams = std::make_shared<UpstreamList>();
    PrimaryView view;
    std::size_t numInstances = 1;
    LendingPlan lendingPlan;
    /// Empty when the deployment has no workspaces.
    std::shared_ptr<const WorkspaceWeights> workspaceWeights;
    Borrower* borrower = nullptr;
    /// The pools refer to it.
    UpstreamHealth health;
    bool discoversCapacity = false;
    QuotaClient* quota = nullptr;
    MemoryAccount memory;
    ReplyMemory replyMemory;
    /// Shared by the receipts of the sessions that still send.
    std::shared_ptr<char> closingSessions = std::make_shared<char>();
    std::map<UpstreamId, std::shared_ptr<UpstreamPool>> pools;
    /// Upstreams whose connections are borrowed.
    std::map<UpstreamId, std::shared_ptr<BorrowingSource>> borrowingSources;
    std::map<UpstreamId, KnownHead> lastKnownHeads;
    std::map<GroupId, Tenure> tenures;
    FreshnessProofs proofs;
    FailoverForecast forecast;
    PrimaryVerifier* verifier = nullptr;
    std::map<GroupId, VerifiedPrimary> verifiedPrimaries;
    NewerTermDetector newerTerms;
    NewerTermHandler newerTermHandler;
};

} // namespace lentiljunction
