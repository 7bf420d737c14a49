#include "QuotaService.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 50 };
    /// Stands for the link of this instance to itself; links of other instances have greater numbers.
    constexpr std::uint64_t ownLink = 0;

    /// @returns a number, not zero, that no earlier process of an instance used
    std::uint64_t makeEpoch()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
    }

} // namespace

QuotaService::QuotaService(EventLoop& loop, const Clock& clock, const QuotaTolerance& tolerance, const InstanceId& self, const ZoneId& zone)
    : loop(loop)
    , clock(clock)
    , self(self)
    , zone(zone)
    , links(loop, *this)
    , accountant(clock, tolerance, makeEpoch(), *this)
    , client(clock, tolerance, self, *this)
    , timer(loop, clock, [this] { this->tick(); })
{
}

void QuotaService::tick()
{
    this->timer.setTime(this->clock.now() + tickInterval);
    this->client.tick();
    if (!this->hasBeenReady && this->client.hasDelegatedAll())
        this->hasBeenReady = true;
}

void QuotaService::setLimits(const std::vector<QuotaLimit>& limits)
{
    this->accountant.setLimits(limits);
    this->client.setLimits(limits);
}

void QuotaService::setMembers(const std::vector<FleetMember>& members, std::size_t numInstances)
{
    this->plan = QuotaPlan(members, this->zone, this->self);
    this->client.setPlan(this->plan, numInstances);
}

void QuotaService::stopDeciding()
{
    std::set<InstanceId> instances = this->plan.listInstances();
    instances.erase(this->self);
    if (!instances.empty())
        this->accountant.stop();
}

void QuotaService::sendToCoordinator(const FleetMember& coordinator, const QuotaMessage& message)
{
    if (coordinator.id != this->self)
        return this->links.sendToCoordinator(coordinator, message);
    this->loop.post([this, message, alive = std::weak_ptr<bool>(this->isAlive)] {
        if (!alive.expired())
            this->accountant.onMessage(ownLink, message);
    });
}

void QuotaService::sendToClient(std::uint64_t link, const QuotaMessage& message)
{
    if (link != ownLink)
        return this->links.sendToClient(link, message);
    this->loop.post([this, message, alive = std::weak_ptr<bool>(this->isAlive)] {
        if (!alive.expired())
            this->client.onMessage(this->self, message);
    });
}

} // namespace lentiljunction
