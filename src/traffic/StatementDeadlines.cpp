#include "StatementDeadlines.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// The share of a statement's time that it may wait for an upstream.
    constexpr double holdShare = 0.4;
    /// A transaction that has no connection by then gets one with its first statement.
    constexpr std::chrono::milliseconds openAheadLimit { 60 };
    /// A read that waits longer for one upstream goes to another, which may have a shorter queue.
    constexpr std::chrono::milliseconds readClaimLimit { 80 };
    /// A read is asked of another upstream when the first takes this many times its usual latency,
    /// and at least the least wait: a slow statement takes five times the mean.
    constexpr int readPatience = 8;
    constexpr std::chrono::milliseconds leastReadWait { 200 };

} // namespace

StatementLimits::StatementLimits(const Route& route, SessionVerb verb, TimePoint arrivedAt)
    : deadline(arrivedAt + route.statementTimeout)
    , holdLimit(arrivedAt + openAheadLimit)
{
    double span = static_cast<double>(route.statementTimeout.count()) * holdShare;
    if (verb != SessionVerb::Begin)
        this->holdLimit = arrivedAt + Duration(static_cast<Duration::rep>(span));
}

TimePoint StatementLimits::getReadClaimLimit(TimePoint now) const
{
    return std::min<TimePoint>(this->holdLimit, now + readClaimLimit);
}

TimePoint StatementLimits::getReadPatience(TimePoint now, Duration latency) const
{
    return std::min<TimePoint>(this->deadline, now + std::max<Duration>(leastReadWait, latency * readPatience));
}

} // namespace lentiljunction
