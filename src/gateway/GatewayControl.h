#pragma once

#include "../peer/PeerExchange.h"
#include "../traffic/TrafficPlane.h"
#include "AuditWriter.h"
#include "FailoverCoordination.h"
#include "FailoverExecutor.h"
#include "GatewaySettings.h"
#include "MemberDirectory.h"
#include "PrimaryRecordWriter.h"
#include "RouteWatcher.h"
#include "UpstreamCommander.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/leadership/CoordinatorHandover.h"
#include "lentiljunction/leadership/LeaseTracker.h"
#include "lentiljunction/routes/UpstreamKeeper.h"

#include <atomic>

namespace lentiljunction {

/// The control plane of one gateway instance: keeps its beliefs current and hands them to traffic.
///
/// Reads the routes, the upstreams and who leads from the store, renews the permit to act on that,
/// and has primaries replaced. Where the store does not answer, other instances are asked.
///
/// Belongs to the control thread.
///
/// @see TrafficPlane
class GatewayControl : private PeerExchange::Listener, private PrimaryRecordWriter::Listener, private FailoverExecutor::Surroundings, private FailoverCoordination::Beliefs, private RouteWatcher::Listener {
public:
    /// Must all outlive the control plane.
    struct Parts {
        EventLoop& controlLoop;
        EventLoop& trafficLoop;
        const Clock& clock;
        const SessionProtocol& protocol;
        FleetStore& store;
        TrafficPlane& traffic;
    };

    GatewayControl(const Parts& parts, const GatewaySettings& settings);

    /// Opens the port for other instances and starts to read.
    bool start(Failure& failure);

    /// A fresh connection of the traffic thread to a primary failed.
    void onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary)
    {
        this->parts.controlLoop.post([this, group, primary] { this->duty.onPrimaryUnreachable(group, primary); });
    }

    /// @returns what this instance believes, for metrics
    GatewayMetrics::Beliefs getBeliefs() const;

    /// @returns whether everything is known that serving needs; safe to call from any thread
    bool isReady() const { return this->ready; }

private:
    void onPeerQuestion(const nlohmann::json& question, const PeerExchange::Responder& respond) override;
    void onLeadSeen(const VersionedPrimaryRecord& lead, BootTime sentAt) override
    {
        this->storeAnsweredAt = this->parts.clock.bootNow();
        this->publishLead(this->permits.onStoreResponse(lead, sentAt));
    }
    void onRoutesInForce(const std::shared_ptr<const RouteTable>& table) override;
    const UpstreamList& getUpstreamList() const override { return *this->upstreams.getList(); }
    const LeaseTracker& getPermits() const override { return this->permits; }
    bool mayAct() const override { return this->turn.mayAct(this->parts.clock.bootNow()); }
    bool isRetiredPastLease(const InstanceId& instance) const override { return this->members.isRetiredPastLease(instance, this->parts.clock.bootNow()); }
    const std::shared_ptr<const RouteTable>& getRoutes() const override { return this->routes.getTable(); }
    std::vector<FleetMember> listActiveMembers() const override { return this->members.listActive(); }
    std::optional<FleetMember> findMember(const InstanceId& instance) const override { return this->members.find(instance); }
    bool hasStore() const override;
    void refreshLead() override { this->readLead(); }
    void confirmTraffic(std::function<void()> callback) override;
    void recordChange(AuditRecord record) override { this->audit.add(std::move(record)); }

    void registerSelf();
    void renewLead();
    void scheduleRenewal(Duration delay);
    std::optional<FleetMember> findOtherReader() const;
    void readLead();
    void onLeadRead(const std::optional<VersionedPrimaryRecord>& lead, const Failure& failure, BootTime sentAt);
    void createLead();
    void publishLead(bool isNewer);
    void askPeersForLead();
    void onPeerBelief(const nlohmann::json& answer, BootTime sentAt);
    void onRelayedCurrency(const nlohmann::json& answer, const Endpoint& reader, BootTime sentAt);
    void listUpstreams();
    void listMembers();
    void updateRetired();
    void returnToService();
    nlohmann::json makeBeliefAnswer() const;
    void answerBeliefs(const PeerExchange::Responder& respond);
    void takeProofs(const nlohmann::json& answer, BootTime sentAt);
    void onTakeLead(const nlohmann::json& question, const PeerExchange::Responder& respond);
    void updateReady();

    Parts parts;
    GatewaySettings settings;
    PeerExchange peers;
    PrimaryRecordWriter writer;
    UpstreamCommander commander;
    FailoverExecutor failovers;
    FailoverCoordination duty;
    LeaseTracker permits;
    RouteWatcher routes;
    UpstreamKeeper upstreams;
    MemberDirectory members;
    AuditWriter audit;
    CoordinatorHandover turn;
    bool isReturning = false;
    BootTime storeAnsweredAt;
    std::size_t nextPeer = 0;
    int numMemberLists = 0;
    /// The zone's reader did not answer; the store is asked directly until then.
    TimePoint readerAvoidedUntil;
    bool isRenewalScheduled = false;
    bool hasListedUpstreams = false;
    bool wasPermitted = false;
    std::atomic<bool> ready { false };
};

} // namespace lentiljunction
