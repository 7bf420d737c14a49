#pragma once

#include "../store/StoreWorker.h"
#include "BundleExchange.h"
#include "OwnGates.h"
#include "PeerBroadcaster.h"
#include "WatcherRegistry.h"
#include "lentiljunction/audit/AuditTrail.h"
#include "lentiljunction/membership/Membership.h"
#include "lentiljunction/peer/PeerMessage.h"
#include "lentiljunction/routing/GateMap.h"

#include <map>
#include <memory>
#include <set>

namespace lentiljunction {

/// All control state of one instance: members, bundle, gates, groups and the audit trail.
///
/// Belongs to the control thread. Passes immutable snapshots to its listener.
class ControlPlane : private Membership::Listener, private GroupWatcher::Listener, private StoreWorker::Listener, private BundleExchange::Listener {
public:
    /// Receives the state that the traffic thread needs. Called on the control thread.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onBundle(std::shared_ptr<const Bundle> bundle) = 0;
        virtual void onMembers(std::shared_ptr<const MemberList> members) = 0;
        virtual void onGates(std::shared_ptr<const GateMap> gates) = 0;
        virtual void onLeavingUpstreams(std::set<UpstreamId> leaving) = 0;
        virtual void onUpstreamStatus(const DatabaseId& database, const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt) = 0;
        virtual void onPrimaryReachabilityChanged(const DatabaseId& database, bool isReachable) = 0;
        virtual void onNewPrimary(const DatabaseId& database, const PrimaryHint& hint) = 0;
        virtual void onReady() = 0;
        virtual void sendToPeer(const InstanceId& to, PeerMessage message) = 0;
    };

    /// The objects that the control plane uses. All must outlive it.
    struct Dependencies {
        EventLoop& loop;
        const Clock& clock;
        Metrics& metrics;
        SqlConnector& connector;
        PlatformStore& store;
    };

    /// @param dependencies the objects that the control plane uses
    /// @param settings this instance's settings
    /// @param listener receives the state for the traffic thread; must outlive this object
    ControlPlane(Dependencies dependencies, const Settings& settings, Listener& listener);

    /// Starts the store threads, the first reads and the periodic tick. Call it on the control thread.
    void start();

    /// Announces to peers that this instance leaves.
    void leave();

    /// Stops the store threads. Call it after the control loop was stopped.
    void stop();

    /// Processes a message from a peer.
    void onPeerMessage(const InstanceId& from, const PeerMessage& message);

    /// Marks groups as in use, which shortens their probe intervals.
    void setActive(const std::vector<DatabaseId>& databases);

    /// Probes a group at the shortest interval, because a write waits for its confirmation.
    void startFastProbing(const DatabaseId& database);

    /// @returns the state of this instance for operators
    nlohmann::json describe() const;

private:
    void onMemberChanged(const Member& member) override;
    void onProbed(const DatabaseId& database, const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt) override;
    void onPrimaryReachable(const DatabaseId& database, bool isReachable) override;
    std::size_t requestReachabilityReports(const DatabaseId& database, const std::optional<UpstreamId>& primary) override;
    void requestTerms(const DatabaseId& database, Term above) override;
    void onPromotionEnded(const DatabaseId& database, const PrimaryHint& primary, const std::string& failureReason) override;
    void onStoreChanged(const StoreWatchResult& changes) override;
    void onStoreReachable(bool isReachable) override;
    void onBundleInForce(const std::string& source, BundleVersion before) override;
    void sendBundleMessage(const InstanceId& to, PeerMessage message) override;

    void onTick();

    /// @returns whether this instance is the zone reader, which watches the store for its zone and
    /// writes the audit entries that concern the whole zone
    bool isZoneReader() const;
    void sendMembershipMessages(const std::vector<Membership::Outgoing>& messages);
    void refreshGates();
    void recordGateMoves(const Bundle& bundle, const GateMap& newGates);
    void fetchBundle(std::optional<BundleVersion> version);
    void fetchInitialState();
    void onPrimaryNotice(const InstanceId& from, const PrimaryNotice& notice);
    void setLeavingUpstreams(const std::set<UpstreamId>& newLeaving);
    void checkReady();

    Dependencies dependencies;
    Settings settings;
    ControlPlane::Listener& listener;
    Random random;
    Membership membership;
    PeerBroadcaster broadcaster;
    BundleExchange bundles;
    StoreWorker worker;
    AuditTrail audit;
    std::shared_ptr<const GateMap> gates;
    OwnGates ownGates;
    WatcherRegistry watchers;
    std::map<DatabaseId, PrimaryHint> knownPrimaries;
    std::map<std::uint64_t, DatabaseId> reachabilityRequests;
    std::uint64_t nextReachabilityRequest = 1;
    std::set<UpstreamId> leaving;
    TimePoint startedAt;
    bool areGatesStale = true;
    bool hasStoreAnswered = false;
    bool isStoreReachable = true;
    bool isReady = false;
};

} // namespace lentiljunction
