#include "StatementDeadlines.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// The share of a statement's time that it may wait for an upstream.
    constexpr double upstreamWaitShare = 0.4;
    /// A transaction that has no connection by then gets one with its first statement.
    constexpr std::chrono::milliseconds earlyBeginTimeout { 60 };
    /// A read that waits longer for one upstream goes to another, which may have a shorter queue.
    constexpr std::chrono::milliseconds readQueueTimeout { 80 };
    /// A read is asked of another upstream when the first takes this many times its usual latency,
    /// and at least the least wait: a slow statement takes five times the mean.
    constexpr int readLatencyMultiple = 8;
    constexpr std::chrono::milliseconds minimumReadTimeout { 200 };

} // namespace

StatementDeadlines::StatementDeadlines(const Route& route, SessionVerb verb, TimePoint arrivedAt)
    : deadline(arrivedAt + route.statementTimeout)
    , upstreamWaitDeadline(arrivedAt + earlyBeginTimeout)
{
    double span = static_cast<double>(route.statementTimeout.count()) * upstreamWaitShare;
    if (verb != SessionVerb::Begin)
        this->upstreamWaitDeadline = arrivedAt + Duration(static_cast<Duration::rep>(span));
}

TimePoint StatementDeadlines::getReadQueueDeadline(TimePoint now) const
{
    return std::min<TimePoint>(this->upstreamWaitDeadline, now + readQueueTimeout);
}

TimePoint StatementDeadlines::getReadAnswerDeadline(TimePoint now, Duration latency) const
{
    return std::min<TimePoint>(this->deadline, now + std::max<Duration>(minimumReadTimeout, latency * readLatencyMultiple));
}

} // namespace lentiljunction
