#pragma once

#include "lentiljunction/membership/Member.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lentiljunction {

/// What instances send each other to keep the list of members.
struct MembershipMessage {
    /// The kind of message.
    enum class Kind {
        /// Asks for an Ack.
        Ping,
        /// Answers a Ping.
        Ack,
        /// Asks the receiver to ping `target` and to pass on its Ack.
        PingRequest,
        /// Carries all members of some availability zones.
        Sync,
        /// Carries a change that the receiver passes on.
        Announcement,
    };

    /// The digest of one zone's members, to find out whether two instances know the same.
    struct ZoneDigest {
        ZoneId zone;
        std::uint64_t digest = 0;
    };

    Kind kind = Kind::Ping;
    std::uint64_t sequence = 0;
    /// For PingRequest.
    InstanceId target;
    /// Recent changes; for Sync, whole zones.
    std::vector<Member> updates;
    /// For Ping: the digest of all members that the sender knows.
    std::optional<std::uint64_t> fleetDigest;
    /// For Ack and Sync: the zones' digests, when the digests of all members differed.
    std::vector<ZoneDigest> digests;
    /// The bundle version the sender has in force.
    BundleVersion bundleVersion;
};

} // namespace lentiljunction
