#include "QuotaFleet.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// How often an instance reads the list of instances after its start, and afterwards.
    constexpr std::chrono::milliseconds startupListInterval { 400 };
    constexpr std::chrono::milliseconds listInterval { 3000 };
    constexpr std::chrono::milliseconds tickInterval { 50 };
    /// A link is identified by the client's process and its instance.
    constexpr std::uint64_t linkFactor = 1000;

} // namespace

QuotaFleet::QuotaFleet(std::size_t numInstances, std::size_t numZones, std::uint64_t seed)
    : numZones(numZones)
    , random(seed)
{
    for (std::size_t index = 0; index < numInstances; index++)
        this->add(index % numZones);
}

void QuotaFleet::add(std::size_t)
{
    this->instances.push_back(std::make_unique<Instance>());
    Instance& instance = *this->instances.back();
    instance.fleet = this;
    instance.index = this->instances.size() - 1;
    instance.clock.advance(std::chrono::seconds(this->random.below(100000)));
    this->restart(instance.index);
}

void QuotaFleet::restart(std::size_t index)
{
    Instance& instance = *this->instances[index];
    instance.process = this->nextProcess++;
    instance.client = std::make_unique<QuotaClient>(instance.clock, QuotaTolerance(), InstanceId("i-" + std::to_string(index)), instance);
    instance.accountant = std::make_unique<QuotaAccountant>(instance.clock, QuotaTolerance(), instance.process, instance);
    instance.startedAt = this->time;
    instance.nextListAt = this->time;
    instance.client->setLimits(this->limits);
    instance.accountant->setLimits(this->limits);
}

void QuotaFleet::kill(std::size_t index)
{
    this->instances[index]->client = nullptr;
    this->instances[index]->accountant = nullptr;
    for (const std::unique_ptr<Instance>& other : this->instances) {
        if (other->client != nullptr && !other->isFrozen && this->random.below(2) == 0)
            other->client->onLinkLost(InstanceId("i-" + std::to_string(index)));
    }
}

FleetMember QuotaFleet::makeMember(std::size_t index) const
{
    FleetMember member { InstanceId("i-" + std::to_string(index)), ZoneId("z" + std::to_string(this->getZone(index))), { "10.0.0.1", 1 } };
    member.quota = Endpoint { "10.0.0.1", static_cast<std::uint16_t>(index) };
    return member;
}

void QuotaFleet::readList(Instance& instance)
{
    bool isStarting = this->time - instance.startedAt < listInterval;
    instance.nextListAt = this->time + (isStarting ? startupListInterval : listInterval);
    std::vector<FleetMember> members;
    for (std::size_t index = 0; index < this->instances.size(); index++)
        members.push_back(this->makeMember(index));
    FleetMember own = this->makeMember(instance.index);
    instance.client->setPlan(QuotaPlan(members, own.zone, own.id), members.size());
}

void QuotaFleet::setLimits(const std::vector<QuotaLimit>& newLimits)
{
    this->limits = newLimits;
    for (const std::unique_ptr<Instance>& instance : this->instances) {
        if (instance->client == nullptr)
            continue;
        instance->client->setLimits(newLimits);
        instance->accountant->setLimits(newLimits);
    }
}

void QuotaFleet::setCut(std::size_t left, std::size_t right, bool isCutNow)
{
    if (isCutNow)
        this->cuts.insert(std::minmax(left, right));
    else
        this->cuts.erase(std::minmax(left, right));
}

bool QuotaFleet::isCut(std::size_t left, std::size_t right) const
{
    return this->cuts.count(std::minmax(left, right)) > 0;
}

void QuotaFleet::Instance::sendToCoordinator(const FleetMember& coordinator, const QuotaMessage& message)
{
    std::size_t to = std::stoul(coordinator.id.toString().substr(2));
    this->fleet->send({ Duration(0), this->index, to, this->process, true, message });
}

void QuotaFleet::Instance::sendToClient(std::uint64_t link, const QuotaMessage& message)
{
    this->fleet->send({ Duration(0), this->index, link % linkFactor, link / linkFactor, false, message });
}

void QuotaFleet::send(Packet packet)
{
    bool isLocal = packet.from == packet.to;
    this->numMessages += isLocal ? 0 : 1;
    bool isLost = !isLocal && (this->isCut(packet.from, packet.to) || static_cast<int>(this->random.below(100)) < this->faults.lostPercent);
    if (isLost)
        return;
    bool isRepeated = static_cast<int>(this->random.below(100)) < this->faults.repeatedPercent;
    for (int copy = 0; copy <= (isRepeated ? 1 : 0); copy++) {
        std::uint64_t delay = isLocal ? 1 : 1 + this->random.below(static_cast<std::uint64_t>(this->faults.maximumDelay.count()));
        packet.deliverAt = this->time + Duration(static_cast<Duration::rep>(delay));
        this->packets.push_back(packet);
    }
}

void QuotaFleet::deliver(const Packet& packet)
{
    Instance& receiver = *this->instances[packet.to];
    if (packet.isForAccountant && receiver.accountant != nullptr)
        receiver.accountant->onMessage(packet.process * linkFactor + packet.from, packet.message);
    if (!packet.isForAccountant && receiver.client != nullptr && receiver.process == packet.process)
        receiver.client->onMessage(InstanceId("i-" + std::to_string(packet.from)), packet.message);
}

void QuotaFleet::advance()
{
    this->time += step;
    for (const std::unique_ptr<Instance>& instance : this->instances)
        instance->clock.advance(step);
    // Messages to a frozen instance wait until it continues.
    std::vector<Packet> due;
    std::vector<Packet> later;
    for (Packet& packet : this->packets)
        (packet.deliverAt <= this->time && !this->instances[packet.to]->isFrozen ? due : later).push_back(std::move(packet));
    this->packets = std::move(later);
    for (const Packet& packet : due)
        this->deliver(packet);
    for (const std::unique_ptr<Instance>& instance : this->instances) {
        if (instance->client == nullptr || instance->isFrozen)
            continue;
        if (this->time >= instance->nextListAt)
            this->readList(*instance);
        if (this->time.count() % Duration(tickInterval).count() == 0)
            instance->client->tick();
    }
}

void QuotaFleet::run(Duration span)
{
    for (Duration end = this->time + span; this->time < end;)
        this->advance();
}

void QuotaFleet::operate(std::size_t index, const WorkspaceId& workspace)
{
    Instance& instance = *this->instances[index];
    if (instance.client == nullptr || instance.isFrozen)
        return;
    instance.client->admit(workspace, [this, workspace](const QuotaDecision& decision) {
        if (decision.isAdmitted())
            this->admitted[workspace].push_back(this->time);
        else
            this->refused[workspace]++;
    });
}

double QuotaFleet::findGreatestShare()
{
    double greatest = 0;
    for (std::size_t partition = 0; partition < numQuotaPartitions; partition++) {
        double sum = 0;
        for (const std::unique_ptr<Instance>& instance : this->instances)
            sum += instance->accountant == nullptr || instance->isFrozen ? 0 : instance->accountant->getShare(partition);
        greatest = std::max(greatest, sum);
    }
    return greatest;
}

std::size_t QuotaFleet::findCoordinator(const WorkspaceId& workspace, std::size_t zone) const
{
    std::vector<FleetMember> members;
    for (std::size_t index = 0; index < this->instances.size(); index++)
        members.push_back(this->makeMember(index));
    QuotaPlan plan(members, ZoneId("z" + std::to_string(zone)), InstanceId("none"));
    return std::stoul(plan.getOrder(findQuotaPartition(workspace)).front().id.toString().substr(2));
}

std::size_t QuotaFleet::findBusiestWindow(const WorkspaceId& workspace, Duration after) const
{
    std::size_t most = 0;
    std::deque<Duration> window;
    std::map<WorkspaceId, std::deque<Duration>>::const_iterator found = this->admitted.find(workspace);
    if (found == this->admitted.end())
        return 0;
    for (Duration at : found->second) {
        if (at < after)
            continue;
        window.push_back(at);
        while (window.front() + QuotaTolerance().window <= at)
            window.pop_front();
        most = std::max(most, window.size());
    }
    return most;
}

} // namespace lentiljunction
