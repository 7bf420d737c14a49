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
    /// The random selection put the primary first: no replica was expected to answer sooner, or all
    /// failed recently.
    Drawn,
    /// A replica was tried, but has not applied the session's last write yet.
    ReplicaBehind,
    /// A replica was tried, but the required freshness of its data could not be proved.
    AgeNotProved,
    /// A replica was tried and failed.
    ReplicaFailed,
};

/// @returns the value of the metric label
std::string toString(PrimaryReadCause cause);

/// Orders the upstreams of one group for a read.
///
/// The order is random, weighted by the recent duration of reads at each upstream, including network
/// and queueing time. Under low load reads go to the nearest replica; when it slows down, they spread.
/// Because the choice is random, instances do not all switch to the same upstream at once. The primary
/// has a fixed penalty. An upstream that failed is avoided for a while.
///
/// Log positions play no part here: whether an upstream has applied the session's last write is decided
/// from the status that the upstream returns with the read.
///
/// Not thread-safe; one traffic thread owns it.
class ReadRouter {
public:
    /// @param ownZone the zone of this instance
    /// @param seed seeds the random order
    ReadRouter(ZoneId ownZone, std::uint64_t seed);

    /// @param database the group
    /// @param primary its primary, if known
    /// @param now the current time
    /// @returns all upstreams in the order in which to try them
    std::vector<UpstreamId> getOrder(const DatabaseConfig& database, const std::optional<UpstreamId>& primary, TimePoint now);

    /// Records how long an upstream took to answer a read, including queueing time.
    void onAnswer(const UpstreamId& upstream, Duration total);

    /// Records that an upstream did not serve a read.
    void onFailed(const UpstreamId& upstream, TimePoint now);

    /// @returns the expected duration of a read at this upstream
    Duration estimate(const UpstreamConfig& upstream) const;

private:
    struct ReadStatistics {
        std::optional<Duration> meanTotal;
        TimePoint avoidedUntil;
    };

    bool isAvoided(const UpstreamId& upstream, TimePoint now) const;

    ZoneId ownZone;
    Random random;
    std::map<UpstreamId, ReadStatistics> statisticsByUpstream;
};

} // namespace lentiljunction
