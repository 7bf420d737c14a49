#pragma once

#include "lentiljunction/membership/Member.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lentiljunction {

/// A message of the membership protocol between instances.
struct MembershipMessage {
    /// The kind of message.
    enum class Kind {
        /// Requests an Ack.
        Ping,
        /// Answers a Ping.
        Ack,
        /// Requests that the receiver ping `target` and forward its Ack.
        PingRequest,
        /// Carries all members of some availability zones.
        Sync,
        /// Carries a change that the receiver passes on to others.
        Announcement,
    };

    /// The digest of a zone's members, by which two instances compare their member lists.
    struct ZoneDigest {
        ZoneId zone;
        std::uint64_t digest = 0;
    };

    Kind kind = Kind::Ping;
    std::uint64_t sequence = 0;
    /// For PingRequest.
    InstanceId target;
    /// Recent changes; for Sync, all members of the zones that differ.
    std::vector<Member> updates;
    /// For Ping: the digest of all members known to the sender.
    std::optional<std::uint64_t> fleetDigest;
    /// For Ack and Sync: the digests of the zones, if the digests of all members differed.
    std::vector<ZoneDigest> digests;
    /// The sender's current bundle version.
    BundleVersion bundleVersion;
};

} // namespace lentiljunction
