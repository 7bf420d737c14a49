#pragma once

#include "../peer/PeerRpc.h"
#include "../traffic/TrafficPlane.h"
#include "AuditWriter.h"
#include "DutyKeeper.h"
#include "FailoverDriver.h"
#include "GatewaySettings.h"
#include "LeadWriter.h"
#include "MemberDirectory.h"
#include "RouteWatcher.h"
#include "UpstreamCommander.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/leadership/DutyTurn.h"
#include "lentiljunction/leadership/PermitBook.h"
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
class FleetControl : private PeerRpc::Listener, private LeadWriter::Listener, private FailoverDriver::Surroundings, private DutyKeeper::Beliefs, private RouteWatcher::Listener {
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

    FleetControl(const Parts& parts, const GatewaySettings& settings);

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
    void onPeerRequest(const nlohmann::json& question, const PeerRpc::Responder& respond) override;
    void onLeadSeen(const VersionedLead& lead, BootTime sentAt) override
    {
        this->storeAnsweredAt = this->parts.clock.bootNow();
        this->publishLead(this->permits.onStoreAnswer(lead, sentAt));
    }
    void onRoutesInForce(const std::shared_ptr<const RouteTable>& table) override;
    const UpstreamList& getUpstreamList() const override { return *this->upstreams.getList(); }
    const PermitBook& getPermits() const override { return this->permits; }
    bool mayAct() const override { return this->turn.mayAct(this->parts.clock.bootNow()); }
    bool isLongRetired(const InstanceId& instance) const override { return this->members.isLongRetired(instance, this->parts.clock.bootNow()); }
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
    void onLeadRead(const std::optional<VersionedLead>& lead, const Failure& failure, BootTime sentAt);
    void createLead();
    void publishLead(bool isNewer);
    void askPeersForLead();
    void onPeerBelief(const nlohmann::json& answer, BootTime sentAt);
    void onRelayedCurrency(const nlohmann::json& answer, const Endpoint& reader, BootTime sentAt);
    void listUpstreams();
    void listMembers();
    void noteRetired();
    void returnToService();
    nlohmann::json makeBeliefAnswer() const;
    void answerBeliefs(const PeerRpc::Responder& respond);
    void takeProofs(const nlohmann::json& answer, BootTime sentAt);
    void onTakeLead(const nlohmann::json& question, const PeerRpc::Responder& respond);
    void updateReady();

    Parts parts;
    GatewaySettings settings;
    PeerRpc peers;
    LeadWriter writer;
    UpstreamCommander commander;
    FailoverDriver failovers;
    DutyKeeper duty;
    PermitBook permits;
    RouteWatcher routes;
    UpstreamKeeper upstreams;
    MemberDirectory members;
    AuditWriter audit;
    DutyTurn turn;
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
