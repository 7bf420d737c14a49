#pragma once

#include "TrafficState.h"
#include "lentiljunction/interactive/FailureCause.h"

#include <string>

namespace lentiljunction {

/// What went wrong last with a statement, kept for its caller and for the log.
class StatementFailure {
public:
    /// @param newDetail what the upstream said, for example
    void set(FailureCause newCause, const std::string& newDetail = "")
    {
        this->cause = newCause;
        this->detail = newDetail;
    }

    FailureCause get() const { return this->cause; }

    /// @returns one sentence for the caller
    std::string describe() const;

    /// Logs that a statement goes to an upstream again: what was asked of the last one, and what that had.
    void logRetry(const TrafficState& state, const Target& last, const RequestId& id, int numSent) const;

private:
    FailureCause cause = FailureCause::None;
    std::string detail;
};

} // namespace lentiljunction
