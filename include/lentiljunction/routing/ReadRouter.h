#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Random.h"

#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Why a read went to the primary.
enum class PrimaryReadCause {
    /// It was drawn first: no replica was expected to answer sooner, or all failed lately.
    Drawn,
    /// A replica was tried and does not hold the session's last write yet.
    ReplicaBehind,
    /// A replica was tried and could not prove the age asked for.
    AgeNotProved,
    /// A replica was tried and failed.
    ReplicaFailed,
};

/// @returns the cause as written in metrics
std::string toString(PrimaryReadCause cause);

/// Orders the upstreams of one group for a read.
///
/// Draws the order at random, weighted by what a read took there lately, its way and its queue
/// included. In quiet times reads keep to the nearest replica; when it fills, they spread, and no
/// two instances swing to one upstream together. The primary bears a handicap. An upstream that
/// failed is avoided for a while.
///
/// Knows no positions: whether an upstream holds the session's last write is judged where it is
/// read, by the upstream's own status.
///
/// Not thread-safe; one traffic thread owns it.
class ReadRouter {
public:
    /// @param ownZone the zone of this instance
    /// @param seed for the draws
    ReadRouter(ZoneId ownZone, std::uint64_t seed);

    /// @param database the group
    /// @param primary its primary, if known
    /// @param now the current time
    /// @returns all upstreams in the order in which they are to be tried
    std::vector<UpstreamId> getOrder(const DatabaseConfig& database, const std::optional<UpstreamId>& primary, TimePoint now);

    /// Notes how long an upstream took to answer a read, its queue included.
    void onAnswer(const UpstreamId& upstream, Duration total);

    /// Notes that an upstream did not serve a read.
    void onFailed(const UpstreamId& upstream, TimePoint now);

    /// @returns what a read at this upstream would take
    Duration estimate(const UpstreamConfig& upstream) const;

private:
    struct Experience {
        std::optional<Duration> meanTotal;
        TimePoint avoidUntil;
    };

    bool isAvoided(const UpstreamId& upstream, TimePoint now) const;

    ZoneId ownZone;
    Random random;
    std::map<UpstreamId, Experience> experiences;
};

} // namespace lentiljunction
