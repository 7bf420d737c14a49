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

/// When a write counts as done.
enum class Durability {
    /// A majority of the group holds the write.
    Replicated,
    /// The primary holds the write, and a majority still takes it for the primary.
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

/// What upstreams of one kind have in common.
struct ProfileConfig {
    /// Statements an upstream executes at one time.
    int slots = 2;
    /// Connections an upstream accepts, those for probes and promotions included.
    int connections = 16;
    /// Connections a gate keeps open ahead of need.
    int warmConnections = 2;
    /// How long an idempotency key is remembered.
    std::chrono::seconds keyRetention { 86400 };
    /// SQL that returns role, fenced_term, head_term, head_position, term_history and state.
    std::string statusSql;
    /// SQL that fences; "{term}" stands for the term.
    std::string fenceSql;
    /// SQL that promotes; "{term}" stands for the term.
    std::string promoteSql;

    /// Connections kept free for the probes of three gates and for the commands of a promotion.
    static constexpr int controlConnections = 6;

    /// @returns how many connections one gate may open: two gates at once, and the control
    /// connections, fit within what the upstream accepts
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

    /// @returns how many upstreams make a majority
    std::size_t getMajority() const { return this->upstreams.size() / 2 + 1; }

    /// @returns the upstream with this id, or nullptr
    const UpstreamConfig* findUpstream(const UpstreamId& id) const;

    friend bool operator==(const DatabaseConfig& left, const DatabaseConfig& right)
    {
        return left.id == right.id && left.profile == right.profile && left.durability == right.durability && left.upstreams == right.upstreams;
    }
};

/// The service one rank gets.
struct RankConfig {
    /// A request whose wait in the queue would pass this is refused at once.
    std::chrono::milliseconds target { 1000 };
    /// The share of an upstream this rank keeps while more urgent ranks flood, in percent.
    int floorPercent = 0;
};

/// The operators whose approvals count, and how many are needed.
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

/// A versioned configuration: the single truth about how the service behaves.
///
/// Immutable once created. Parsed from canonical JSON text, over which approvals are made.
///
/// @code
/// Failure failure;
/// std::optional<Bundle> bundle = parseBundle(document, failure);
/// @endcode
///
/// @see ActiveBundle, SignedBundle
struct Bundle {
    BundleVersion version;
    /// Who approves this bundle's successors.
    OperatorSet operators;
    std::map<std::string, ProfileConfig> profiles;
    std::map<DatabaseId, DatabaseConfig> databases;
    std::array<RankConfig, numRanks> ranks;
    LimitsConfig limits;

    /// @returns the configuration of a rank
    const RankConfig& getRank(Rank rank) const { return this->ranks[toIndex(rank)]; }

    /// @returns the profile of a database; the parser makes sure that it exists
    const ProfileConfig& getProfile(const DatabaseConfig& database) const { return this->profiles.at(database.profile); }

    /// @returns the database with this id, or nullptr
    const DatabaseConfig* findDatabase(const DatabaseId& id) const;
};

/// Reads and checks a bundle.
///
/// @param document the bundle's JSON
/// @param failure receives every fault, each with the path of its field
/// @returns the bundle, or nothing
std::optional<Bundle> parseBundle(const nlohmann::json& document, Failure& failure);

/// @returns an operator set read from JSON; faults are added with their paths
OperatorSet parseOperatorSet(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults);

} // namespace lentiljunction
