#include "RouteFleet.h"

#include "lentiljunction/core/Cbor.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds stepLength { 1 };
    constexpr std::size_t packetBytes = 1460;
    /// As instances ask their zone reader for the primary record.
    constexpr std::chrono::milliseconds pollInterval { 400 };
    constexpr std::chrono::milliseconds pollTimeout { 150 };
    /// As instances ask others for their version while they are behind.
    constexpr std::chrono::milliseconds confirmationTimeout { 300 };
    /// A primary record of eight groups with their proofs.
    constexpr std::size_t smallResponseBytes = 1200;

} // namespace

struct RouteFleet::Packet {
    Connection connection;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t number = 0;
    bool isResponse = false;
    bool isTransfer = false;
    nlohmann::json body;
    std::size_t bytesLeft = 0;
};

struct RouteFleet::Instance : RouteReceiver::Transport, RouteReceiver::Listener {
    struct Pending {
        std::size_t peer = 0;
        bool isTransfer = false;
        TimePoint sentAt;
    };

    Instance(RouteFleet& fleet, std::size_t index)
        : fleet(fleet)
        , index(index)
        , endpoint { "10.0.0." + std::to_string(index + 1), 7000 }
        , deadlines(fleet.clock)
        , sender(fleet.clock)
        , receiver(fleet.clock, *this, *this, this->endpoint)
    {
    }

    void setTable(const std::shared_ptr<const RouteTable>& newTable)
    {
        if (this->table != nullptr && newTable->version <= this->table->version)
            return;
        this->table = newTable;
        this->sender.onRoutesInForce(newTable);
        this->receiver.onTableKnown(newTable->version);
    }

    void sendRouteRequest(const Endpoint& peer, const nlohmann::json& request, Duration timeout) override { this->fleet.ask(*this, this->fleet.findIndex(peer), request, timeout, true); }
    std::shared_ptr<const RouteTable> getNewestTable() const override { return this->table; }
    void onRoutesReceived(const std::shared_ptr<const RouteTable>& newTable, const Endpoint&) override { this->setTable(newTable); }
    void onRoutesProgress() override { }

    RouteFleet& fleet;
    std::size_t index;
    Endpoint endpoint;
    PendingRequests deadlines;
    RouteSender sender;
    RouteReceiver receiver;
    std::shared_ptr<const RouteTable> table;
    std::map<std::uint64_t, Pending> pending;
    std::map<Connection, std::deque<Packet>> queues;
    Connection nextConnection;
    bool isStopped = false;
    bool isBehind = false;
    std::size_t nextPeer = 0;
    TimePoint nextPollAt;
};

RouteFleet::RouteFleet(std::size_t numInstances, std::size_t bytesPerSecond)
    : bytesPerStep(bytesPerSecond / 1000)
{
    for (std::size_t index = 0; index < numInstances; index++) {
        this->instances.push_back(std::make_unique<Instance>(*this, index));
        this->instances.back()->nextPollAt = this->clock.now() + pollInterval * index / numInstances;
        this->instances.back()->nextPeer = index;
    }
}

RouteFleet::~RouteFleet() = default;

void RouteFleet::start(const std::shared_ptr<const RouteTable>& table)
{
    for (const std::unique_ptr<Instance>& instance : this->instances)
        instance->setTable(table);
}

void RouteFleet::publish(const std::shared_ptr<const RouteTable>& table)
{
    this->instances.front()->setTable(table);
}

void RouteFleet::stop(std::size_t index)
{
    this->instances[index]->isStopped = true;
}

void RouteFleet::run(Duration span)
{
    TimePoint end = this->clock.now() + span;
    while (this->clock.now() < end)
        this->step();
}

bool RouteFleet::runUntilAllHave(BundleVersion version, Duration limit)
{
    TimePoint end = this->clock.now() + limit;
    auto hasVersion = [&](const std::unique_ptr<Instance>& instance) { return instance->isStopped || (instance->table != nullptr && instance->table->version >= version); };
    while (!std::all_of(this->instances.begin(), this->instances.end(), hasVersion)) {
        if (this->clock.now() >= end)
            return false;
        this->step();
    }
    return true;
}

std::size_t RouteFleet::findIndex(const Endpoint& endpoint) const
{
    return std::find_if(this->instances.begin(), this->instances.end(), [&](const std::unique_ptr<Instance>& instance) { return instance->endpoint == endpoint; }) - this->instances.begin();
}

void RouteFleet::step()
{
    this->clock.advance(stepLength);
    for (const Packet& packet : std::exchange(this->inFlight, {}))
        this->deliver(packet);
    for (const std::unique_ptr<Instance>& instance : this->instances) {
        if (instance->isStopped)
            continue;
        this->expire(*instance);
        std::optional<TimePoint> next = instance->receiver.getNextDeadline();
        if (next && *next <= this->clock.now())
            instance->receiver.onTick();
        if (instance->nextPollAt <= this->clock.now())
            this->poll(*instance);
        this->transmit(*instance);
    }
}

void RouteFleet::poll(Instance& instance)
{
    instance.nextPollAt += pollInterval;
    if (instance.index != 0)
        this->askSmall(instance, 0, pollTimeout);
    if (!instance.isBehind)
        return;
    instance.nextPeer = (instance.nextPeer + 1) % this->instances.size();
    if (instance.nextPeer != instance.index)
        this->askSmall(instance, instance.nextPeer, confirmationTimeout);
}

void RouteFleet::askSmall(Instance& instance, std::size_t peer, Duration timeout)
{
    this->ask(instance, peer, { { "ask", "beliefs" } }, timeout, false);
}

void RouteFleet::ask(Instance& instance, std::size_t peer, const nlohmann::json& request, Duration timeout, bool isTransfer)
{
    std::uint64_t number = this->nextNumber++;
    instance.pending[number] = { peer, isTransfer, this->clock.now() };
    instance.deadlines.add(number, std::to_string(peer), timeout);
    this->send(instance, { { instance.index, peer }, instance.index, peer, number, false, isTransfer, request, 0 });
}

void RouteFleet::send(Instance& instance, Packet packet)
{
    packet.bytesLeft = toCbor(packet.body).size();
    if (packet.isTransfer)
        this->numTransferBytes += packet.bytesLeft;
    else if (packet.isResponse)
        packet.bytesLeft += smallResponseBytes;
    instance.queues[packet.connection].push_back(std::move(packet));
}

void RouteFleet::transmit(Instance& instance)
{
    std::size_t budget = this->bytesPerStep;
    while (budget > 0 && !instance.queues.empty()) {
        std::map<Connection, std::deque<Packet>>::iterator queue = instance.queues.upper_bound(instance.nextConnection);
        if (queue == instance.queues.end())
            queue = instance.queues.begin();
        instance.nextConnection = queue->first;
        Packet& packet = queue->second.front();
        std::size_t sent = std::min({ budget, packetBytes, packet.bytesLeft });
        budget -= sent;
        packet.bytesLeft -= sent;
        if (packet.bytesLeft > 0)
            continue;
        this->inFlight.push_back(std::move(packet));
        queue->second.pop_front();
        if (queue->second.empty())
            instance.queues.erase(queue);
    }
}

void RouteFleet::deliver(const Packet& packet)
{
    Instance& receiver = *this->instances[packet.to];
    if (receiver.isStopped)
        return;
    if (!packet.isResponse) {
        nlohmann::json body { { "version", receiver.table == nullptr ? 0 : receiver.table->version.value() } };
        if (packet.isTransfer)
            body["body"] = receiver.sender.respond(parseCbor(toCbor(packet.body)));
        return this->send(receiver, { packet.connection, packet.to, packet.from, packet.number, true, packet.isTransfer, std::move(body), 0 });
    }
    receiver.deadlines.onReceived(std::to_string(packet.from));
    std::map<std::uint64_t, Instance::Pending>::iterator found = receiver.pending.find(packet.number);
    if (found == receiver.pending.end())
        return;
    Instance::Pending answered = found->second;
    receiver.pending.erase(found);
    receiver.deadlines.onResponse(packet.number);
    const Endpoint& peer = this->instances[packet.from]->endpoint;
    if (answered.isTransfer)
        receiver.receiver.onResponse(peer, parseCbor(toCbor(packet.body["body"])));
    else
        this->longestResponse = std::max(this->longestResponse, std::chrono::duration_cast<Duration>(this->clock.now() - answered.sentAt));
    receiver.isBehind = packet.body["version"].get<std::uint64_t>() > (receiver.table == nullptr ? 0 : receiver.table->version.value());
    if (receiver.isBehind)
        receiver.receiver.onNewerVersion(peer, BundleVersion(packet.body["version"].get<std::uint64_t>()));
}

void RouteFleet::expire(Instance& instance)
{
    PendingRequests::Expiry expiry = instance.deadlines.expire();
    for (const std::string& peer : expiry.lostPeers)
        this->loseLink(instance, std::stoul(peer));
    for (std::uint64_t number : expiry.failedRequests)
        this->fail(instance, number);
}

void RouteFleet::loseLink(Instance& instance, std::size_t peer)
{
    this->numLostLinks++;
    Connection connection { instance.index, peer };
    instance.queues.erase(connection);
    this->instances[peer]->queues.erase(connection);
    for (std::uint64_t number : instance.deadlines.takeAll(std::to_string(peer)))
        this->fail(instance, number);
}

void RouteFleet::fail(Instance& instance, std::uint64_t number)
{
    Instance::Pending failed = instance.pending.at(number);
    instance.pending.erase(number);
    if (failed.isTransfer)
        instance.receiver.onResponse(this->instances[failed.peer]->endpoint, std::nullopt);
    else
        this->numSmallFailures++;
}

} // namespace lentiljunction
