#include "StatementDeadlines.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Share of a statement's timeout that it may spend waiting for an upstream.
    constexpr double upstreamWaitShare = 0.4;
    /// How long BEGIN waits for a connection. After that the first statement of the transaction acquires one.
    constexpr std::chrono::milliseconds earlyBeginTimeout { 60 };
    /// How long a read waits for one upstream before it tries another, which may have a shorter queue.
    constexpr std::chrono::milliseconds readQueueTimeout { 80 };
    /// A read is sent to another upstream after this multiple of the expected latency, but not before the
    /// minimum timeout. Slow statements take five times the mean, so a lower multiple would resend them.
    constexpr int readLatencyMultiple = 8;
    constexpr std::chrono::milliseconds minimumReadTimeout { 200 };

} // namespace

StatementDeadlines::StatementDeadlines(const Route& route, SessionVerb verb, TimePoint arrivedAt)
    : deadline(arrivedAt + route.statementTimeout)
    , upstreamWaitDeadline(arrivedAt + earlyBeginTimeout)
{
    double upstreamWait = static_cast<double>(route.statementTimeout.count()) * upstreamWaitShare;
    if (verb != SessionVerb::Begin)
        this->upstreamWaitDeadline = arrivedAt + Duration(static_cast<Duration::rep>(upstreamWait));
}

bool StatementDeadlines::isWaitWorthwhile(TimePoint now, const std::optional<TimePoint>& expected) const
{
    return now < this->upstreamWaitDeadline && (!expected || *expected < this->upstreamWaitDeadline);
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
