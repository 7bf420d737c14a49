#pragma once

#include "lentiljunction/caller/Request.h"
#include "lentiljunction/membership/MembershipMessage.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <variant>

namespace lentiljunction {

/// The primary of a group as known to the sender.
struct PrimaryHint {
    Term term;
    UpstreamId upstream;
};

/// Forwards a request to a gate, which runs it at one of its upstreams.
struct HopRequest {
    /// Identifies the request; HopResponse carries the same number.
    std::uint64_t hop = 0;
    Request request;
    UpstreamId upstream;
    /// The time left until the sender's deadline.
    Duration remaining { 0 };
    /// The estimated time of the same read at the primary.
    Duration alternativeCost { 0 };
};

/// A gate's response to a HopRequest.
struct HopResponse {
    std::uint64_t hop = 0;
    Outcome outcome;
    /// Whether a commit was sent whose result is unknown.
    bool isInDoubt = false;
    /// The durable log entry that the caller's session now depends on.
    std::optional<LogPoint> point;
    std::optional<PrimaryHint> hint;
    /// The interactive transaction that stays open; empty otherwise.
    TransactionId transaction;
};

/// Announces a new primary.
struct PrimaryNotice {
    DatabaseId database;
    PrimaryHint hint;
};

/// Asks a gate whether it can reach an upstream.
struct ReachabilityRequest {
    std::uint64_t requestId = 0;
    DatabaseId database;
    UpstreamId upstream;
};

/// A gate's response to a ReachabilityRequest.
struct ReachabilityResponse {
    std::uint64_t requestId = 0;
    bool isReached = false;
};

/// Announces the bundle version that is active at the sender.
struct BundleNotice {
    BundleVersion version;
};

/// Requests the active bundle, as a delta from the version that the sender has.
struct BundleRequest {
    BundleVersion have;
    /// Whether the whole bundle is needed because a delta could not be applied.
    bool wantsFullCopy = false;
};

/// The response to a BundleRequest: a delta or the whole bundle.
struct BundleResponse {
    /// A BundleDelta; null when `full` is given.
    nlohmann::json delta;
    /// A SignedBundle; null when `delta` is given.
    nlohmann::json full;
};

/// Announces the upstreams that are leaving.
struct LeavingNotice {
    std::vector<UpstreamId> upstreams;
};

/// Tests whether a link still delivers messages.
struct Echo {
    std::uint64_t number = 0;
    bool isReply = false;
};

/// All messages that instances send each other. The order is part of the wire format.
using PeerMessage = std::variant<MembershipMessage, HopRequest, HopResponse, PrimaryNotice, ReachabilityRequest, ReachabilityResponse, BundleNotice, BundleRequest, BundleResponse, LeavingNotice, Echo>;

/// @returns the message encoded in CBOR
std::string encodePeerMessage(const PeerMessage& message);

/// Decodes a message.
///
/// @param payload a message encoded in CBOR
/// @param failure set when the message is malformed or its version is not supported
/// @returns the message, or nothing
std::optional<PeerMessage> decodePeerMessage(const std::string& payload, Failure& failure);

} // namespace lentiljunction
