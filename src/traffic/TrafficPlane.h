#pragma once

#include "../lending/LendingService.h"
#include "../quota/QuotaService.h"
#include "CallerSession.h"
#include "MemoryRelief.h"
#include "PrimaryVerificationRounds.h"
#include "RouteExplanation.h"
#include "TrafficState.h"
#include "lentiljunction/admission/DescriptorBudget.h"
#include "lentiljunction/metrics/GatewayMetrics.h"

#include <functional>
#include <limits>
#include <memory>
#include <set>

namespace lentiljunction {

/// Runs all caller sessions of one instance and its connections to upstreams: the data plane of the proxy.
///
/// Not thread-safe; the traffic thread owns it. The control thread passes newer state by posting to the
/// traffic loop.
///
/// @see GatewayControl
class TrafficPlane : private UpstreamPool::Listener, private CallerSession::Listener {
public:
    /// Receives the failures of upstreams that statements and checks detect. Called on the traffic thread.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// A new connection to the primary of a group failed.
        virtual void onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary) = 0;

        /// An upstream reported a later term of its group than the one in which the primary record names the primary. Called
        /// at most ten times a second for a group.
        virtual void onNewerTerm(const GroupId& group, const UpstreamId& upstream, Term term) = 0;
    };

    /// @param self the id of this instance, which is sent to upstreams
    TrafficPlane(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, GatewayMetrics& metrics, const InstanceId& self, const ZoneId& zone, Listener& listener);
    ~TrafficPlane() override;

    /// Starts the periodic checks of upstreams and proofs. Call it before the loop runs.
    void start();

    /// Lets reads avoid upstreams that fail much of their work. Call it before listen().
    void ejectFailingUpstreams();

    /// Lets the limits on concurrent statements follow what the upstreams handle well. Call it before listen().
    void discoverCapacity();

    /// Opens the port for callers. Can be tried again after a failure.
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// @param confirmation how long keys may be decided with the routes; unused without workspaces
    void setRoutes(std::shared_ptr<const RouteTable> routes, std::shared_ptr<const RouteConfirmation> confirmation = nullptr);
    void setUpstreams(std::shared_ptr<const UpstreamList> upstreams);

    /// Sets the instances that share the upstreams' connections.
    ///
    /// @param members the active instances
    /// @param numInstances the number of registered instances, of which some may be inactive
    /// @param relaysProofs whether other instances rely on the freshness proofs of this one
    void setMembers(const std::vector<FleetMember>& members, std::size_t numInstances, bool relaysProofs);

    /// Borrows connections from other instances. Call it before the upstreams are set.
    void borrowConnections() { this->state.setBorrower(this->lending.getBorrower()); }

    /// Opens the port at which other instances borrow connections. Can be tried again after a failure.
    bool listenForBorrowers(const Endpoint& endpoint, Failure& failure);

    /// Limits the sessions of callers. Call this before listen().
    void setDescriptorBudget(const DescriptorBudget& budget) { this->descriptors = budget; }

    /// Limits the memory that sessions hold. Call this before listen().
    void setMemoryBudget(const MemoryBudget& budget) { this->state.getMemory().setBudget(budget); }

    /// Enforces the limits of workspaces. Call this before the routes are set.
    ///
    /// @param self this instance
    /// @param zone the availability zone of this instance
    void enforceQuota(const QuotaTolerance& tolerance, const InstanceId& self, const ZoneId& zone);

    /// Opens the port at which other instances request decisions on the limits of workspaces, which must be enforced.
    /// Can be tried again after a failure.
    bool listenForQuota(const Endpoint& endpoint, Failure& failure) { return this->quota->listen(endpoint, failure); }

    /// @returns whether operations of limited workspaces can be admitted; safe to call from any thread
    bool isQuotaReady() const { return this->quota == nullptr || this->quota->isReady(); }

    /// Leaves decisions on the limits of workspaces to other instances.
    void stopDecidingQuota();

    /// Lends no more connections to other instances.
    void stopLending() { this->lending.stopLending(); }

    /// Sets a newer view of the primary record. After this returns, no answer of a replaced primary is
    /// forwarded as a success.
    void setPrimaryView(const PrimaryView& view);

    /// Extends the lease on the primary record in force.
    void extendLease(const PrimaryView& view) { this->state.setPrimaryView(view); }

    /// @returns the newest freshness proof of each group, for other instances
    std::vector<FreshnessProofs::Newest> listNewestProofs() const { return this->state.listNewestProofs(); }

    /// Adds freshness proofs from another instance.
    void addFreshnessProofs(const std::vector<FreshnessProofs::Newest>& proofs);

    /// Updates the gauges of the upstreams, of the loans and of the age of the freshness proofs.
    void updateMetrics() const;

    /// Explains where a statement would go now. Sends nothing and changes no state.
    ///
    /// @see RouteExplainer
    std::optional<RouteExplanation> explainRoute(const RouteQuestion& question, Failure& failure) const;

    /// Closes idle sessions now and the others when they become idle.
    void drain();

    /// Closes all sessions that run no statement, also those with an open transaction.
    void closeIdleTransactions();

    /// Closes the port and all remaining sessions.
    void stop();

    /// @returns the number of sessions with a running statement or an open transaction, and of connections that
    /// are lent to other instances
    std::size_t countBusy() const;

private:
    void onUpstreamUnreachable(const UpstreamEntry& upstream, UpstreamConnection::LossCause cause) override;
    void onSessionEnded(CallerSession& session) override;
    void onStatementAnswered(const Route* route, const StatementRequest& request, const StatementRun::Result& result) override;
    void onKeyRefused(KeyVerdict verdict) override { this->metrics.onKeyRefused(lentiljunction::toString(verdict)); }
    void onRefusedLocally(FailureCause cause) override { this->metrics.onRefusedLocally(lentiljunction::toString(cause)); }
    void onMemoryExceeded() override { this->memoryRelief.closeLater(); }
    TcpConnection::Listener& accept(std::unique_ptr<TcpConnection> socket);
    void refuseLater(CallerSession* session);
    std::vector<CallerSession*> listSessions() const;
    void notifySessions();
    void checkPrimaries();
    void tick();
    void checkPrimary(const GroupId& group);
    void checkPrimaryWithoutLease(const GroupId& group);
    void onNewerTerm(const GroupId& group, const UpstreamId& upstream, Term term, const NewerTermDetector::Action& action);
    void checkBorrowedPrimary(const GroupId& group, const Target& primaryTarget);
    void requestHead(StatementConnection& connection, const GroupId& group, const PrimaryTenure& primary, std::function<void(bool hasReply)> callback);
    void onHeadReported(const GroupId& group, const PrimaryTenure& primary, const SessionReply& reply, BootTime requestedAt, bool isFirst);
    /// @returns for how many milliseconds the routes still count as the newest ones, for the log; negative when they do not
    std::string describeRoutesFreshness() const;
    void countAnswer(const Route& route, const StatementRequest& request, const StatementRun::Result& result);

    EventLoop& loop;
    const Clock& clock;
    const SessionProtocol& protocol;
    GatewayMetrics& metrics;
    Listener& listener;
    TrafficState state;
    LendingService lending;
    /// Empty when limits are not enforced.
    std::unique_ptr<QuotaService> quota;
    PrimaryVerificationRounds verifier;
    MemoryRelief memoryRelief;
    TcpServer callerServer;
    OneShotTimer checkTimer;
    OneShotTimer pauseTimer;
    std::map<CallerSession*, std::unique_ptr<CallerSession>> sessions;
    DescriptorBudget descriptors { std::numeric_limits<std::size_t>::max() };
    bool isDraining = false;
    bool relaysProofs = false;
    /// Groups whose primary is being checked on a borrowed connection.
    std::set<GroupId> groupsChecking;
};

} // namespace lentiljunction
