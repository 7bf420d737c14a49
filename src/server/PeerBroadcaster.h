#pragma once

#include "lentiljunction/core/Random.h"
#include "lentiljunction/membership/Membership.h"
#include "lentiljunction/peer/PeerMessage.h"

#include <functional>

namespace lentiljunction {

/// Spreads news through the fleet: within the own zone directly, to other zones by their relays.
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

    /// Sends to every member of the own zone, and to the relays of all others, which pass it on.
    void sendToAll(const PeerMessage& message);

    /// Sends to a few members of the own zone, drawn at random; a relay also to the other zones'
    /// relays. For news that probes carry too.
    void sendToRandomPeers(const PeerMessage& message, Random& random);

    /// Passes on what came from another zone to every member of the own.
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
