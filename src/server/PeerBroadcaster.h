#pragma once

#include "lentiljunction/core/Random.h"
#include "lentiljunction/membership/Membership.h"
#include "lentiljunction/peer/PeerMessage.h"

#include <functional>

namespace lentiljunction {

/// Sends messages to all instances: directly within the own zone, through relays to other zones.
///
/// Belongs to the control thread.
class PeerBroadcaster {
public:
    /// Sends one message.
    using SendFunction = std::function<void(const InstanceId& to, const PeerMessage& message)>;

    /// @param membership the members; must outlive this object
    /// @param self this instance's id
    /// @param zone this instance's zone
    /// @param send sends one message
    PeerBroadcaster(const Membership& membership, InstanceId self, ZoneId zone, SendFunction send);

    /// Sends to every member of the own zone, and to the relays of the other zones, which forward it.
    void sendToAll(const PeerMessage& message);

    /// Sends to a few random members of the own zone. A relay also sends to the relays of the other
    /// zones. Suits information that the membership probes carry as well.
    void sendToRandomPeers(const PeerMessage& message, Random& random);

    /// Forwards a message from another zone to every member of the own zone.
    void forward(const InstanceId& from, const PeerMessage& message);

private:
    std::vector<InstanceId> getOwnZonePeers() const;
    void sendToRelays(const PeerMessage& message);

    const Membership& membership;
    InstanceId self;
    ZoneId zone;
    SendFunction send;
};

} // namespace lentiljunction
