#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <deque>
#include <map>
#include <optional>

namespace lentiljunction {

/// Proves how old the data of an upstream is.
///
/// A sample says: everything acknowledged before this time is contained in the log up to this
/// point. It is made from the primary's position, and only when a majority, asked no earlier, was
/// still fenced at the primary's term; otherwise a newer primary might have acknowledged more.
/// Every time is read on this instance's own monotonic clock before the question was sent, so
/// clocks of other machines play no part.
///
/// Not thread-safe.
class FreshnessHistory {
public:
    /// @param majority how many upstreams make a majority
    explicit FreshnessHistory(std::size_t majority);

    /// @param upstream who reported
    /// @param status its report
    /// @param askedAt when the report was asked for
    void onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint askedAt);

    /// @param status the report of the upstream that is to be read
    /// @param now the current time
    /// @returns an upper bound for the age of its data, or nothing when none can be proved
    std::optional<Duration> getAge(const UpstreamStatus& status, TimePoint now) const;

private:
    struct Report {
        UpstreamStatus status;
        TimePoint askedAt;
    };

    struct Sample {
        TimePoint time;
        LogPoint point;
    };

    const Report* findPrimary() const;
    std::optional<TimePoint> findMajorityTime(const Report& primary) const;

    std::size_t majority;
    std::map<UpstreamId, Report> reports;
    std::deque<Sample> samples;
};

} // namespace lentiljunction
