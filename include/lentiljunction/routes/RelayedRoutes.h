#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/routes/RouteTable.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace lentiljunction {

/// How current the routing configuration of an instance is.
struct RouteFreshness {
    BundleVersion version;
    /// Since the store showed that nothing newer was there.
    Duration age { 0 };
};

/// Decides whether an instance may go by what another one tells of the routing configuration.
///
/// Not thread-safe.
class RelayedFreshness {
public:
    /// Another instance told how current it is.
    ///
    /// Its age is counted from when it was asked, since the answer may have been under way for any time.
    void onFreshness(const RouteFreshness& freshness, BootTime askedAt);

    /// @returns whether a change in the store would be known here soon enough by the other instance
    bool isFresh(BootTime now) const;

    /// @returns when isFresh ends without further news
    std::optional<BootTime> getExpiry() const;

    /// @returns when the store last showed to the other instance that nothing newer was there
    const std::optional<BootTime>& getConfirmedAt() const { return this->confirmedAt; }

private:
    std::optional<BootTime> confirmedAt;
};

/// @returns how current an instance is, as part of its answer to another one
nlohmann::json encodeRouteFreshness(const RouteFreshness& freshness);

/// @param answer the whole answer
/// @returns how current the other instance is, or nothing when it does not know or cannot be read
std::optional<RouteFreshness> decodeRouteFreshness(const nlohmann::json& answer);

/// @returns a configuration as instances hand it to each other
nlohmann::json encodeRelayedRoutes(const RouteTable& table);

/// @returns a configuration, or nothing with every fault in `failure`
std::optional<RouteTable> decodeRelayedRoutes(const nlohmann::json& document, Failure& failure);

} // namespace lentiljunction
