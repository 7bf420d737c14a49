#include "PeerBroadcaster.h"

#include <set>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::size_t fanout = 3;

} // namespace

PeerBroadcaster::PeerBroadcaster(const Membership& membership, InstanceId self, ZoneId zone, SendFunction send)
    : membership(membership)
    , self(std::move(self))
    , zone(std::move(zone))
    , send(std::move(send))
{
}

void PeerBroadcaster::sendToAll(const PeerMessage& message)
{
    for (const InstanceId& instance : this->getOwnZonePeers())
        this->send(instance, message);
    this->sendToRelays(message);
}

void PeerBroadcaster::sendToRandomPeers(const PeerMessage& message, Random& random)
{
    std::vector<InstanceId> recipients = this->getOwnZonePeers();
    while (recipients.size() > fanout)
        recipients.erase(recipients.begin() + static_cast<std::ptrdiff_t>(random.below(recipients.size())));
    for (const InstanceId& instance : recipients)
        this->send(instance, message);
    if (this->membership.isRelay())
        this->sendToRelays(message);
}

void PeerBroadcaster::forward(const InstanceId& from, const PeerMessage& message)
{
    const Member* sender = this->membership.find(from);
    bool isFromOtherZone = sender != nullptr && sender->zone != this->zone;
    if (!isFromOtherZone)
        return;
    for (const InstanceId& instance : this->getOwnZonePeers())
        this->send(instance, message);
}

std::vector<InstanceId> PeerBroadcaster::getOwnZonePeers() const
{
    std::vector<InstanceId> others;
    for (const Member& member : *this->membership.getMembers()) {
        if (member.zone == this->zone && member.id != this->self && member.state != MemberState::Dead)
            others.push_back(member.id);
    }
    return others;
}

void PeerBroadcaster::sendToRelays(const PeerMessage& message)
{
    std::set<ZoneId> otherZones;
    for (const Member& member : *this->membership.getMembers()) {
        if (member.zone != this->zone)
            otherZones.insert(member.zone);
    }
    for (const ZoneId& other : otherZones) {
        for (const InstanceId& relay : this->membership.getRelays(other))
            this->send(relay, message);
    }
}

} // namespace lentiljunction
