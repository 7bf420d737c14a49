#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <deque>
#include <map>
#include <optional>

namespace lentiljunction {

/// Proves an upper bound for the age of an upstream's data.
///
/// A sample states that all writes acknowledged before a time are contained in the log up to a point.
/// It is taken from the primary's log head, and only if a majority, queried no earlier, was still
/// fenced at the primary's term; otherwise a newer primary might have acknowledged more writes.
/// Every time is read from this instance's monotonic clock before the request is sent, so the clocks
/// of other machines are not involved.
///
/// Not thread-safe.
class FreshnessHistory {
public:
    /// @param majority the number of upstreams that form a majority
    explicit FreshnessHistory(std::size_t majority);

    /// @param upstream the upstream that reported
    /// @param status the reported status
    /// @param requestedAt when the status request was sent
    void onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt);

    /// @param status the status of the upstream to read from
    /// @param now the current time
    /// @returns an upper bound for the age of its data, or nothing when none can be proved
    std::optional<Duration> getAge(const UpstreamStatus& status, TimePoint now) const;

private:
    struct Report {
        UpstreamStatus status;
        TimePoint requestedAt;
    };

    struct Sample {
        TimePoint time;
        LogPoint point;
    };

    const Report* findPrimary() const;
    std::optional<TimePoint> findMajorityVerifiedTime(const Report& primary) const;

    std::size_t majority;
    std::map<UpstreamId, Report> reports;
    std::deque<Sample> samples;
};

} // namespace lentiljunction
