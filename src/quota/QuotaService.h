#pragma once

#include "../net/OneShotTimer.h"
#include "QuotaLinks.h"
#include "lentiljunction/quota/QuotaAccountant.h"
#include "lentiljunction/quota/QuotaClient.h"

#include <atomic>
#include <memory>

namespace lentiljunction {

/// Enforces the limits of workspaces together with the other instances: connects QuotaClient and QuotaAccountant to
/// links and timers.
///
/// Use only on the event loop's thread.
class QuotaService : private QuotaLinks::Listener, private QuotaClient::Transport, private QuotaAccountant::Transport {
public:
    /// All must outlive this object.
    QuotaService(EventLoop& loop, const Clock& clock, const QuotaTolerance& tolerance, const InstanceId& self, const ZoneId& zone);

    /// Starts the timer.
    void start() { this->tick(); }

    /// Opens the port for other instances. Can be tried again after a failure.
    ///
    /// @param failure set when the port cannot be opened
    bool listen(const Endpoint& endpoint, Failure& failure) { return this->links.listen(endpoint, failure); }

    /// Sets the limits; a workspace that is not listed has none.
    void setLimits(const std::vector<QuotaLimit>& limits);

    /// @param members the active instances
    /// @param numInstances the number of registered instances
    void setMembers(const std::vector<FleetMember>& members, std::size_t numInstances);

    QuotaClient& getClient() { return this->client; }
    const QuotaClient& getClient() const { return this->client; }

    /// @returns the number of live delegations to this instance
    std::size_t countDelegations() const { return this->accountant.countDelegations(); }

    /// @returns whether operations of limited workspaces can be admitted since some time; safe to call from any thread
    bool isReady() const { return this->hasBeenReady; }

    /// Leaves the decisions to other instances, if there are others.
    void stopDeciding();

private:
    void onClientMessage(std::uint64_t link, const QuotaMessage& message) override { this->accountant.onMessage(link, message); }
    void onClientLost(std::uint64_t link) override { this->accountant.onLinkLost(link); }
    void onCoordinatorMessage(const InstanceId& coordinator, const QuotaMessage& message) override { this->client.onMessage(coordinator, message); }
    void onCoordinatorLost(const InstanceId& coordinator) override { this->client.onLinkLost(coordinator); }
    void sendToCoordinator(const FleetMember& coordinator, const QuotaMessage& message) override;
    void dropLink(const InstanceId& coordinator) override { this->links.drop(coordinator); }
    void sendToClient(std::uint64_t link, const QuotaMessage& message) override;
    void tick();

    EventLoop& loop;
    const Clock& clock;
    const InstanceId self;
    const ZoneId zone;
    QuotaPlan plan;
    QuotaLinks links;
    QuotaAccountant accountant;
    QuotaClient client;
    OneShotTimer timer;
    std::atomic<bool> hasBeenReady { false };
    /// Tasks that were posted hold a weak reference to it and do nothing after destruction.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace lentiljunction
