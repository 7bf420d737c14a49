#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/interactive/SessionStatement.h"
#include "lentiljunction/routes/RouteTable.h"

#include <optional>

namespace lentiljunction {

/// Maximum attempts to run one statement. A group has no more upstreams than this to try.
constexpr int maximumAttempts = 4;

/// The deadlines of one statement: for its answer, for its wait for an upstream, and for its time in one queue.
class StatementDeadlines {
public:
    StatementDeadlines(const Route& route, SessionVerb verb, TimePoint arrivedAt);

    /// @returns when the statement times out
    TimePoint getDeadline() const { return this->deadline; }

    /// @returns until when the statement may wait for an upstream. A later refusal would leave the caller
    /// no time to try another instance
    TimePoint getUpstreamWaitDeadline() const { return this->upstreamWaitDeadline; }

    /// @param expected when a primary that is missing is expected back, or nothing when none is missing
    /// @returns whether waiting for an upstream can succeed in time
    bool isWaitWorthwhile(TimePoint now, const std::optional<TimePoint>& expected) const;

    /// @returns until when a read may wait in the queue of one upstream before it tries another
    TimePoint getReadQueueDeadline(TimePoint now) const;

    /// @returns until when a statement may wait in the queue of the chosen upstream
    TimePoint getAcquireDeadline(bool needsPrimary, TimePoint now) const { return needsPrimary ? this->upstreamWaitDeadline : this->getReadQueueDeadline(now); }

    /// @param latency the expected latency of the upstream that runs the read
    /// @returns when an unanswered read is sent to another upstream
    TimePoint getReadAnswerDeadline(TimePoint now, Duration latency) const;

private:
    TimePoint deadline;
    TimePoint upstreamWaitDeadline;
};

} // namespace lentiljunction
