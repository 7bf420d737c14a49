#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/core/Rank.h"

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace lentiljunction {

/// When a write is confirmed to the caller.
enum class Durability {
    /// When a majority of the group holds the write.
    Replicated,
    /// When the primary holds the write and a majority still accepts it as the primary.
    Primary,
};

/// One member of a database group.
struct UpstreamConfig {
    UpstreamId id;
    ZoneId zone;
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const UpstreamConfig& left, const UpstreamConfig& right)
    {
        return left.id == right.id && left.zone == right.zone && left.host == right.host && left.port == right.port;
    }
};

/// Settings shared by upstreams of one kind.
struct ProfileConfig {
    /// The number of statements that an upstream executes concurrently.
    int slots = 2;
    /// The number of connections that an upstream accepts, including those for probes and promotions.
    int connections = 16;
    /// The number of idle connections that a gate keeps open.
    int warmConnections = 2;
    /// How long an idempotency key is accepted after it was issued.
    std::chrono::seconds keyRetention { 86400 };
    /// SQL that returns role, fenced_term, head_term, head_position, term_history and state.
    std::string statusSql;
    /// SQL that fences the upstream at a term; "{term}" is replaced by the term.
    std::string fenceSql;
    /// SQL that promotes the upstream; "{term}" is replaced by the new term.
    std::string promoteSql;

    /// Connections reserved for the probes of three gates and for the commands of a promotion.
    static constexpr int controlConnections = 6;

    /// @returns the number of connections that one gate may open, so that two gates at once and the
    /// control connections fit into the connections that the upstream accepts
    int getGateConnections() const { return (this->connections - controlConnections) / 2; }

    friend bool operator==(const ProfileConfig& left, const ProfileConfig& right)
    {
        return std::tie(left.slots, left.connections, left.warmConnections, left.keyRetention, left.statusSql, left.fenceSql, left.promoteSql)
            == std::tie(right.slots, right.connections, right.warmConnections, right.keyRetention, right.statusSql, right.fenceSql, right.promoteSql);
    }
};

/// One database group.
struct DatabaseConfig {
    DatabaseId id;
    std::string profile;
    Durability durability = Durability::Replicated;
    std::vector<UpstreamConfig> upstreams;

    /// @returns the number of upstreams that form a majority
    std::size_t getMajority() const { return this->upstreams.size() / 2 + 1; }

    /// @returns the upstream with this id, or nullptr
    const UpstreamConfig* findUpstream(const UpstreamId& id) const;

    friend bool operator==(const DatabaseConfig& left, const DatabaseConfig& right)
    {
        return left.id == right.id && left.profile == right.profile && left.durability == right.durability && left.upstreams == right.upstreams;
    }
};

/// The service level of one rank.
struct RankConfig {
    /// A request whose expected wait in the queue exceeds this is refused at once.
    std::chrono::milliseconds target { 1000 };
    /// The share of an upstream that is reserved for this rank when more urgent ranks overload it, in percent.
    int floorPercent = 0;
};

/// The operators who may approve bundles, and the number of approvals that a bundle needs.
struct OperatorSet {
    std::uint64_t serial = 0;
    int threshold = 1;
    /// Ed25519 public keys in hexadecimal, by operator name.
    std::map<std::string, std::string> keys;
};

/// Limits on callers and retries.
struct LimitsConfig {
    std::int64_t maximumBodyBytes = 1 << 20;
    std::chrono::milliseconds defaultDeadline { 1000 };
    std::chrono::milliseconds maximumDeadline { 30000 };
    /// Retries allowed per hundred requests.
    int retryPercent = 20;
    /// An interactive transaction without a statement for this long is rolled back.
    std::chrono::milliseconds transactionIdleTimeout { 5000 };
};

/// A versioned configuration of the whole service.
///
/// Immutable once created. Parsed from canonical JSON text, which the operators sign.
///
/// @code
/// Failure failure;
/// std::optional<Bundle> bundle = parseBundle(document, failure);
/// @endcode
///
/// @see ActiveBundle, SignedBundle
struct Bundle {
    BundleVersion version;
    /// The operators who approve this bundle's successors.
    OperatorSet operators;
    std::map<std::string, ProfileConfig> profiles;
    std::map<DatabaseId, DatabaseConfig> databases;
    std::array<RankConfig, numRanks> ranks;
    LimitsConfig limits;

    /// @returns the configuration of a rank
    const RankConfig& getRank(Rank rank) const { return this->ranks[toIndex(rank)]; }

    /// @returns the profile of a database; parseBundle() ensures that it exists
    const ProfileConfig& getProfile(const DatabaseConfig& database) const { return this->profiles.at(database.profile); }

    /// @returns the database with this id, or nullptr
    const DatabaseConfig* findDatabase(const DatabaseId& id) const;
};

/// Parses and validates a bundle.
///
/// @param document the bundle's JSON
/// @param failure receives all faults, each with the path of its field
/// @returns the bundle, or nothing if it has faults
std::optional<Bundle> parseBundle(const nlohmann::json& document, Failure& failure);

/// @returns the operator set parsed from JSON; faults are added with their paths
OperatorSet parseOperatorSet(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults);

} // namespace lentiljunction
