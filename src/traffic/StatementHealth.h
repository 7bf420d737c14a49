#pragma once

#include "HeldConnection.h"
#include "TrafficState.h"
#include "lentiljunction/interactive/ReplyPolicy.h"

#include <optional>

namespace lentiljunction {

/// Reports the results of one statement's attempts to the detector of failing upstreams.
///
/// The error of a single read is reported only when the read succeeds at another upstream: a statement that fails on
/// two upstreams is wrong itself.
class StatementHealth {
public:
    /// @param state must outlive this object
    explicit StatementHealth(TrafficState& state)
        : state(state)
    {
    }

    /// Records that a command is sent now.
    void onSent() { this->sentAt = this->state.getClock().now(); }

    /// Reports a result on a connection.
    void report(const HeldConnection& held, std::optional<UpstreamResult> result);

    /// Reports the reply to the statement.
    void onReply(const HeldConnection& held, const SessionReply& reply, const StatementTraits& traits, AttemptOutcome outcome);

    /// @returns whether another upstream should be asked before an error is delivered
    bool mayCompareError(const StatementTraits& traits, const Target& target) const;

    /// @returns the error with which an upstream answered, when another one was asked afterwards
    std::optional<SessionReply>& getComparedError() { return this->comparedError; }

private:
    TrafficState& state;
    TimePoint sentAt;
    std::optional<SessionReply> comparedError;
    OutlierDetector::Sample comparedSample;
};

} // namespace lentiljunction
