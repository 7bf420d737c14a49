#pragma once

#include "lentiljunction/caller/Request.h"
#include "lentiljunction/membership/MembershipMessage.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <variant>

namespace lentiljunction {

/// The primary of a group as far as the sender knows.
struct PrimaryHint {
    Term term;
    UpstreamId upstream;
};

/// Asks a gate to run a request at one of its upstreams.
struct HopRequest {
    /// Names the exchange; matched by HopResponse.
    std::uint64_t hop = 0;
    Request request;
    UpstreamId upstream;
    /// How long the sender still waits.
    Duration remaining { 0 };
    /// What the read would take at the primary instead.
    Duration alternativeCost { 0 };
};

/// A gate's answer.
struct HopResponse {
    std::uint64_t hop = 0;
    Outcome outcome;
    /// Whether a commit was sent whose fate is not known.
    bool isInDoubt = false;
    /// The durable entry that the caller's session now covers.
    std::optional<LogPoint> point;
    std::optional<PrimaryHint> hint;
    /// The interactive transaction that stays open; empty otherwise.
    TransactionId transaction;
};

/// Tells entry instances of a new primary.
struct PrimaryNotice {
    DatabaseId database;
    PrimaryHint hint;
};

/// Asks a gate whether it reaches an upstream.
struct ReachabilityRequest {
    std::uint64_t question = 0;
    DatabaseId database;
    UpstreamId upstream;
};

/// A gate's opinion.
struct ReachabilityResponse {
    std::uint64_t question = 0;
    bool isReached = false;
};

/// Tells that a bundle version is in force at the sender.
struct BundleNotice {
    BundleVersion version;
};

/// Asks for the way from a version to the one in force.
struct BundleRequest {
    BundleVersion have;
    /// Whether a delta did not do.
    bool wantsFullCopy = false;
};

/// A bundle, as a delta or in full.
struct BundleResponse {
    /// A BundleDelta; null when `full` is given.
    nlohmann::json delta;
    /// A SignedBundle; null when `delta` is given.
    nlohmann::json full;
};

/// Tells which upstreams leave.
struct LeavingNotice {
    std::vector<UpstreamId> upstreams;
};

/// Finds out whether a link still carries anything.
struct Echo {
    std::uint64_t number = 0;
    bool isReply = false;
};

/// Everything that instances send each other.
using PeerMessage = std::variant<MembershipMessage, HopRequest, HopResponse, PrimaryNotice, ReachabilityRequest, ReachabilityResponse, BundleNotice, BundleRequest, BundleResponse, LeavingNotice, Echo>;

/// @returns the message in CBOR
std::string encodePeerMessage(const PeerMessage& message);

/// @param payload a message in CBOR
/// @param failure says what is wrong with it
/// @returns the message, or nothing
std::optional<PeerMessage> decodePeerMessage(const std::string& payload, Failure& failure);

} // namespace lentiljunction
