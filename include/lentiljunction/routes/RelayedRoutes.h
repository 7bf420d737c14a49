#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/routes/RouteTable.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace lentiljunction {

/// The version of an instance's routing configuration and how long ago it was confirmed to be the latest.
struct RouteFreshness {
    BundleVersion version;
    /// Time since the store last confirmed that no newer version exists.
    Duration age { 0 };
    /// The instance to which the store confirmed it; empty when a build without this field sent it.
    InstanceId confirmedTo {};
};

/// A zone reader reads the store every second, and other instances query it every 0.4 s. Operators expect a change in force
/// within 3 s; the remaining time is for reading it from the store.
constexpr std::chrono::milliseconds relayedFreshnessLifetime { 2500 };

/// Decides whether an instance may rely on another instance for the routing configuration instead of the store.
///
/// Not thread-safe.
class RelayedFreshness {
public:
    /// Records the freshness that another instance reported.
    ///
    /// The reported age is counted from when the request was sent, because the delay of the response is unknown.
    void onFreshness(const RouteFreshness& freshness, BootTime requestedAt);

    /// Sets the age up to which a confirmation counts. The instances that read the store next if their zone reader cannot
    /// have a shorter one, so that their proofs reach the others in time.
    void setLifetime(Duration newLifetime) { this->lifetime = newLifetime; }

    /// Forgets what other instances reported.
    void clear() { this->confirmedAt.reset(); }

    /// @returns whether the other instance was confirmed by the store recently enough to pass on changes in time
    bool isFresh(BootTime now) const;

    /// @returns when isFresh becomes false without further responses
    std::optional<BootTime> getExpiry() const;

    /// @returns when the store last confirmed to the other instance that no newer version exists
    const std::optional<BootTime>& getConfirmedAt() const { return this->confirmedAt; }

private:
    std::optional<BootTime> confirmedAt;
    Duration lifetime = relayedFreshnessLifetime;
};

/// @returns the freshness of an instance as part of its response to another one
nlohmann::json encodeRouteFreshness(const RouteFreshness& freshness);

/// @param answer the complete response
/// @returns the freshness of the other instance, or nothing when it is missing or malformed
std::optional<RouteFreshness> decodeRouteFreshness(const nlohmann::json& answer);

/// @returns a routing configuration as every build decodes it
nlohmann::json encodeRelayedRoutes(const RouteTable& table);

/// Puts routes with the same settings into one entry. Much shorter, since most databases of a deployment share theirs.
///
/// @returns a routing configuration as instances send it to each other
nlohmann::json encodeGroupedRoutes(const RouteTable& table);

/// Decodes either encoding.
///
/// @returns a routing configuration, or nothing with all faults in `failure`
std::optional<RouteTable> decodeRelayedRoutes(const nlohmann::json& document, Failure& failure);

} // namespace lentiljunction
