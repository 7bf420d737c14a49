#pragma once

#include "TrafficState.h"
#include "lentiljunction/interactive/FailureCause.h"

#include <string>

namespace lentiljunction {

/// What went wrong last with a statement, kept for its caller and for the log.
class TroubleNote {
public:
    /// @param newDetail what the upstream said, for example
    void set(FailureCause newTrouble, const std::string& newDetail = "")
    {
        this->trouble = newTrouble;
        this->detail = newDetail;
    }

    FailureCause get() const { return this->trouble; }

    /// @returns one sentence for the caller
    std::string describe() const;

    /// Logs that a statement goes to an upstream again: what was asked of the last one, and what that had.
    void logRetry(const TrafficState& state, const Target& last, const RequestId& id, int numSent) const;

private:
    FailureCause trouble = FailureCause::None;
    std::string detail;
};

} // namespace lentiljunction
