#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/interactive/SessionStatement.h"
#include "lentiljunction/routes/RouteTable.h"

namespace lentiljunction {

/// More tries of one statement than there are upstreams in a group help nobody.
constexpr int maximumAttempts = 4;

/// Until when one statement may run, wait for an upstream, or stay in one queue.
class StatementDeadlines {
public:
    StatementDeadlines(const Route& route, SessionVerb verb, TimePoint arrivedAt);

    /// @returns when the statement's time is over
    TimePoint getDeadline() const { return this->deadline; }

    /// @returns until when it may wait for an upstream. A refusal later leaves the caller no time to try
    /// another instance
    TimePoint getUpstreamWaitDeadline() const { return this->upstreamWaitDeadline; }

    /// @returns until when a read may stay in one queue while others may be shorter
    TimePoint getReadQueueDeadline(TimePoint now) const;

    /// @returns when a read is asked of another upstream, because the first does not answer
    ///
    /// @param latency the usual latency of the first
    TimePoint getReadAnswerDeadline(TimePoint now, Duration latency) const;

private:
    TimePoint deadline;
    TimePoint upstreamWaitDeadline;
};

} // namespace lentiljunction
