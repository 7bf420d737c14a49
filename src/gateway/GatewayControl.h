#pragma once

#include "../peer/PeerRpc.h"
#include "../traffic/TrafficPlane.h"
#include "AuditWriter.h"
#include "FailoverCoordination.h"
#include "FailoverExecutor.h"
#include "FleetLists.h"
#include "GatewaySettings.h"
#include "GroupRegistrar.h"
#include "MemberDirectory.h"
#include "MemberRegistration.h"
#include "PeerConfirmation.h"
#include "PrimaryRecordRecovery.h"
#include "PrimaryRecordWriter.h"
#include "ReplaceableGroupLog.h"
#include "RouteTransfer.h"
#include "RouteWatcher.h"
#include "UpstreamCommander.h"
#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/leadership/CoordinatorHandover.h"
#include "lentiljunction/leadership/LeaseTracker.h"
#include "lentiljunction/routes/UpstreamRegistry.h"

#include <atomic>

namespace lentiljunction {

/// The control plane of one gateway instance: keeps its known state up to date and passes it to the traffic
/// plane.
///
/// Reads the routes, the upstreams and the primary record from the store, renews the lease on the
/// record, and starts failovers. If the store does not answer, it requests the record from other
/// instances.
///
/// Not thread-safe except where noted; the control thread owns it.
///
/// @see TrafficPlane
class GatewayControl : private PeerRpc::Listener, private PrimaryRecordWriter::Listener, private FailoverExecutor::Context, private FailoverCoordination::KnownState, private GroupRegistrar::KnownState, private RouteWatcher::Listener, private FleetLists::Listener {
public:
    /// All must outlive the control plane.
    struct Dependencies {
        EventLoop& controlLoop;
        EventLoop& trafficLoop;
        const Clock& clock;
        const SessionProtocol& protocol;
        FleetStore& store;
        TrafficPlane& traffic;
    };

    GatewayControl(const Dependencies& dependencies, const GatewaySettings& settings);

    /// Starts to read from the store. Safe to call from any thread, as are the next three.
    void start();

    /// Registers this instance in the store; call it once the port for other instances is open.
    ///
    /// A failover waits for all registered instances, so one that cannot be reached must not register.
    void registerInstance()
    {
        this->dependencies.controlLoop.post([this] { this->registration.start(); });
    }

    /// Tells other instances where this one lends connections.
    void setLending(const Endpoint& lending)
    {
        this->dependencies.controlLoop.post([this, lending] { this->registration.setLending(lending); });
    }

    /// Tells other instances where this one decides on the limits of workspaces.
    void setQuota(const Endpoint& quota)
    {
        this->dependencies.controlLoop.post([this, quota] { this->registration.setQuota(quota); });
    }

    /// Removes the registration of this instance, which must use its lease no more.
    ///
    /// @param onRemoved called on the control thread; never when the store is not available
    void unregisterInstance(std::function<void()> onRemoved)
    {
        this->dependencies.controlLoop.post([this, onRemoved = std::move(onRemoved)] { this->registration.remove(onRemoved); });
    }

    /// Opens the port for other instances. Can be tried again after a failure.
    bool listen(Failure& failure) { return this->peers.listen(this->settings.peers, failure); }

    /// Handles a primary to which the traffic thread could not open a new connection. Safe to call from any
    /// thread.
    void onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary)
    {
        this->dependencies.controlLoop.post([this, group, primary] { this->coordination.onPrimaryUnreachable(group, primary); });
    }

    /// Handles an upstream that showed the traffic thread a newer term than that of its group's recorded primary. Safe to
    /// call from any thread.
    void onNewerTerm(const GroupId& group, const UpstreamId& upstream, Term term)
    {
        this->dependencies.controlLoop.post([this, group, upstream, term] { this->coordination.onNewerTerm(group, upstream, term); });
    }

    /// @returns the state known to this instance, for metrics
    GatewayMetrics::KnownState getKnownState() const;

    /// @returns whether the instance has all state that it needs to serve; safe to call from any thread
    bool isReady() const { return this->ready; }

private:
    void onPeerRequest(const nlohmann::json& request, const PeerRpc::Responder& respond) override;
    std::optional<BundleVersion> getConfigurationVersion() const override;
    void onConfigurationVersion(BundleVersion version, const std::optional<Endpoint>& peer) override;
    void onPrimaryRecord(const VersionedPrimaryRecord& versioned, BootTime sentAt) override
    {
        this->storeAnsweredAt = this->dependencies.clock.bootNow();
        this->publishPrimaryView(this->leaseTracker.onStoreResponse(versioned, sentAt));
    }
    void onUpstreamList(const std::shared_ptr<const UpstreamList>& list) override;
    void onMemberList(const std::vector<FleetMember>& list) override;
    void onRoutesInForce(const std::shared_ptr<const RouteTable>& table) override;
    void onStoreRevision(StoreVersion revision, StoreEra era, BootTime sentAt) override { this->lists.onRevision(revision, era, sentAt); }
    const UpstreamList& getUpstreamList() const override { return *this->upstreams.getList(); }
    const LeaseTracker& getLeaseTracker() const override { return this->leaseTracker; }
    bool isUpstreamGone(const UpstreamId& upstream) const override { return this->upstreams.isGone(upstream, this->dependencies.clock.now()); }
    bool mayAct() const override { return this->recovery.mayPromote() && this->handover.mayAct(this->dependencies.clock.bootNow()); }
    bool haveEarlierLeasesExpired() const override { return this->recovery.haveEarlierLeasesExpired(); }
    bool isRetiredPastLease(const InstanceId& instance) const override { return this->members.isRetiredPastLease(instance, this->dependencies.clock.bootNow()); }
    const std::shared_ptr<const RouteTable>& getRoutes() const override { return this->routes.getTable(); }
    std::vector<UpstreamId> listLostUpstreams(const GroupId& group) const override { return this->upstreams.listLost(group, this->dependencies.clock.now()); }
    std::optional<TimePoint> findChangingSince(const GroupId& group) const override { return this->coordination.findChangingSince(group); }
    std::vector<FleetMember> listActiveMembers() const override { return this->members.listActive(this->dependencies.clock.bootNow()); }
    std::optional<FleetMember> findMember(const InstanceId& instance) const override { return this->members.find(instance); }
    bool isStoreReachable() const override;
    void refreshPrimaryRecord() override { this->readPrimaryRecord(); }
    void confirmTrafficUpdate(std::function<void()> callback) override;
    void refreshUpstreams(std::function<void(bool isRead)> callback) override { this->lists.refreshUpstreams(std::move(callback)); }
    void recordChange(AuditRecord record) override { this->audit.add(std::move(record)); }

    void onRegistered(StoreEra era);
    /// Requests the primary record from the zone reader or reads it from the store.
    void renewLease();
    void scheduleLeaseRenewal(Duration delay);

    /// @returns the zone reader, or nothing when this instance reads the store itself
    std::optional<FleetMember> findZoneReader() const;
    /// Asks the instance that reads the store next if the zone reader cannot. Without one, this instance does.
    void askDeputy();
    /// Asks the zone reader for all but the primary record, which a coordinator reads itself.
    void askForRoutesAndLists();
    /// Processes all that a zone reader reports.
    void onReaderResponse(const nlohmann::json& response, const Endpoint& reader, BootTime sentAt, const VersionedPrimaryRecord& had);
    void readPrimaryRecord();
    /// Reads the primary record for an instance whose zone reader does not provide a sufficient lease.
    void readPrimaryRecordUnlessAvoided();
    void onPrimaryRecordRead(const std::optional<VersionedPrimaryRecord>& versioned, const Failure& failure, BootTime sentAt);
    /// Passes the known primaries and the lease to the traffic thread.
    ///
    /// @param isNewer whether the record is newer than the one that the traffic thread has
    void publishPrimaryView(bool isNewer);
    /// Requests the known state of another instance, for use while the store does not answer.
    void requestPeerState();
    /// @returns the request for the known state of another instance, which need not send the record that this one has
    nlohmann::json makeStateRequest() const;
    /// @param had the record that this instance had when it sent the request
    void onPeerState(const nlohmann::json& response, BootTime sentAt, const VersionedPrimaryRecord& had);
    void onZoneReaderFreshness(const nlohmann::json& response, const Endpoint& reader, BootTime sentAt);
    nlohmann::json makeRoutesVersionResponse() const;
    /// Passes the active instances to the traffic thread.
    void publishMembers();
    /// @returns the place of this instance among those that read the store for its zone
    std::size_t findReaderRank(const std::vector<FleetMember>& active) const;
    /// Processes the coordinator and the retired instances of the newest record.
    void updateRetired();
    /// Continues stalled failovers, and removes promotion calls that can no longer take effect from the record.
    void checkFailovers();
    /// Removes this instance from the retired and the absent ones in the primary record.
    void returnToService();
    nlohmann::json makeStateResponse(const nlohmann::json& request) const;
    void respondWithState(const nlohmann::json& request, const PeerRpc::Responder& respond);
    void applyProofs(const nlohmann::json& response, BootTime sentAt);
    void onPrimaryRecordMessage(const nlohmann::json& request, const PeerRpc::Responder& respond);
    void updateReady();

    Dependencies dependencies;
    GatewaySettings settings;
    PeerRpc peers;
    PrimaryRecordWriter writer;
    UpstreamCommander commander;
    FailoverExecutor executor;
    FailoverCoordination coordination;
    PrimaryRecordRecovery recovery;
    GroupRegistrar groupRegistrar;
    MemberRegistration registration;
    LeaseTracker leaseTracker;
    RouteWatcher routes;
    RouteTransfer routeTransfer;
    PeerConfirmation peerConfirmation;
    FleetLists lists;
    UpstreamRegistry upstreams;
    MemberDirectory members;
    AuditWriter audit;
    CoordinatorHandover handover;
    /// Whether a write is pending that removes this instance from the retired ones.
    bool isReturnPending = false;
    BootTime storeAnsweredAt;
    /// Index of the instance to which the next request for known state is sent.
    std::size_t nextPeer = 0;
    /// Until this time the store is read directly, since the zone reader did not respond.
    TimePoint zoneReaderAvoidedUntil;
    /// Limits the reads of the primary record that fail, where the zone reader reads it as well.
    Backoff recordRetries;
    TimePoint recordReadAvoidedUntil;
    /// Whether leases are being renewed, which starts with the first registration.
    bool isRenewing = false;
    bool isRenewalScheduled = false;
    bool hasListedUpstreams = false;
    /// Whether it is known which instances lend connections.
    bool hasListedMembers = false;
    bool hadValidLease = false;
    ReplaceableGroupLog replaceableGroups;
    std::atomic<bool> ready { false };
};

} // namespace lentiljunction
