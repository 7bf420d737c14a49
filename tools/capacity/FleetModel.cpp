#include "FleetModel.h"

#include "lentiljunction/peer/PeerMessage.h"

#include <algorithm>

namespace lentiljunction::capacity {

namespace {

    constexpr Duration stepTime = std::chrono::milliseconds(100);
    constexpr std::size_t seedsPerRestart = 5;
    /// Distance between the instances whose view is checked. It is prime, so that all zones are sampled.
    constexpr std::size_t agreementStride = 17;
    /// WebSocket frame and packet headers of a message.
    constexpr double overheadBytes = 60;

    double toSeconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

} // namespace

FleetModel::FleetModel(int numInstances, int numZones)
{
    for (int index = 0; index < numInstances; index++) {
        int zone = index % numZones;
        std::string id = "region" + std::to_string(zone % 7) + "-zone" + std::to_string(zone) + "-" + std::to_string(index / numZones);
        this->seeds.push_back({ InstanceId(id), ZoneId("zone" + std::to_string(zone)), { "10.120." + std::to_string(zone) + "." + std::to_string(index / numZones), 9080 } });
    }
    std::uint64_t seed = 1;
    for (const SeedPeer& peer : this->seeds) {
        Node node;
        node.self = { peer.id, peer.zone, peer.endpoint, MemberState::Alive, Incarnation(1796356109079) };
        node.membership = std::make_unique<Membership>(node.self, this->seeds, seed++, this->clock.now());
        this->indices[peer.id] = this->nodes.size();
        this->nodes.push_back(std::move(node));
    }
    this->shareMemberList();
    this->resetTraffic();
}

void FleetModel::shareMemberList()
{
    MembershipMessage all;
    all.kind = MembershipMessage::Kind::Sync;
    for (const Node& node : this->nodes)
        all.updates.push_back(node.self);
    for (Node& node : this->nodes)
        node.membership->onMessage(InstanceId(), all, this->clock.now());
}

void FleetModel::run(Duration time)
{
    TimePoint end = this->clock.now() + time;
    while (this->clock.now() < end) {
        this->clock.advance(stepTime);
        std::vector<Envelope> due;
        due.swap(this->messages);
        for (const Envelope& envelope : due) {
            Node& receiver = this->nodes[envelope.to];
            if (!receiver.isStopped)
                this->send(envelope.to, receiver.membership->onMessage(this->nodes[envelope.from].self.id, envelope.message, this->clock.now()));
        }
        for (std::size_t index = 0; index < this->nodes.size(); index++) {
            if (!this->nodes[index].isStopped)
                this->send(index, this->nodes[index].membership->onTick(this->clock.now()));
        }
        if (this->clock.now() >= this->secondEnds)
            this->closeSecond();
    }
}

void FleetModel::stop(const std::function<bool(const Member&)>& isStopped)
{
    for (Node& node : this->nodes)
        node.isStopped = node.isStopped || isStopped(node.self);
}

void FleetModel::restart()
{
    for (std::size_t index = 0; index < this->nodes.size(); index++) {
        Node& node = this->nodes[index];
        if (!node.isStopped)
            continue;
        std::vector<SeedPeer> restartSeeds;
        for (std::size_t count = 1; count <= seedsPerRestart; count++)
            restartSeeds.push_back(this->seeds[(index + count * 37) % this->seeds.size()]);
        node.self.incarnation = Incarnation(node.self.incarnation.value() + this->nextIncarnation++);
        node.membership = std::make_unique<Membership>(node.self, restartSeeds, index, this->clock.now());
        node.isStopped = false;
    }
}

void FleetModel::resetTraffic()
{
    for (Node& node : this->nodes) {
        node.traffic = Traffic();
        node.currentSecond = Traffic();
    }
    this->peakSecond = Traffic();
    this->resetAt = this->clock.now();
    this->secondEnds = this->clock.now() + std::chrono::seconds(1);
}

FleetModel::Traffic FleetModel::getBusiest() const
{
    double seconds = toSeconds(std::chrono::duration_cast<Duration>(this->clock.now() - this->resetAt));
    Traffic busiest;
    for (const Node& node : this->nodes) {
        if (node.traffic.bytes > busiest.bytes * seconds)
            busiest = { node.traffic.bytes / seconds, node.traffic.messages / seconds };
    }
    return busiest;
}

FleetModel::Traffic FleetModel::getMean() const
{
    double seconds = toSeconds(std::chrono::duration_cast<Duration>(this->clock.now() - this->resetAt));
    double count = static_cast<double>(this->nodes.size());
    Traffic mean;
    for (const Node& node : this->nodes) {
        mean.bytes += node.traffic.bytes / seconds / count;
        mean.messages += node.traffic.messages / seconds / count;
    }
    return mean;
}

double FleetModel::getAgreement() const
{
    std::size_t numRunning = 0;
    std::size_t numAgreeing = 0;
    for (std::size_t index = 0; index < this->nodes.size(); index += agreementStride) {
        const Node& node = this->nodes[index];
        if (node.isStopped)
            continue;
        numRunning++;
        bool isCorrect = std::all_of(this->nodes.begin(), this->nodes.end(), [&](const Node& other) {
            const Member* seen = node.membership->find(other.self.id);
            return seen != nullptr && (seen->state == MemberState::Dead) == other.isStopped;
        });
        numAgreeing += isCorrect ? 1 : 0;
    }
    return static_cast<double>(numAgreeing) / static_cast<double>(numRunning);
}

void FleetModel::send(std::size_t from, const std::vector<Membership::Outgoing>& list)
{
    for (const Membership::Outgoing& outgoing : list) {
        double bytes = static_cast<double>(encodePeerMessage(outgoing.message).size()) + overheadBytes;
        std::size_t to = this->indices.at(outgoing.to);
        for (std::size_t index : { from, to }) {
            this->nodes[index].traffic.bytes += bytes;
            this->nodes[index].traffic.messages++;
            this->nodes[index].currentSecond.bytes += bytes;
            this->nodes[index].currentSecond.messages++;
        }
        this->messages.push_back({ from, to, outgoing.message });
    }
}

void FleetModel::closeSecond()
{
    this->secondEnds += std::chrono::seconds(1);
    for (Node& node : this->nodes) {
        if (node.currentSecond.bytes > this->peakSecond.bytes)
            this->peakSecond = node.currentSecond;
        node.currentSecond = Traffic();
    }
}

} // namespace lentiljunction::capacity
