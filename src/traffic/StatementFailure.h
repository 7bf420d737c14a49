#pragma once

#include "TrafficState.h"
#include "lentiljunction/interactive/FailureCause.h"

#include <string>

namespace lentiljunction {

/// The last failure of a statement, reported to the caller and in the log.
class StatementFailure {
public:
    /// @param newDetail additional text, such as the reply code of the upstream
    void set(FailureCause newCause, const std::string& newDetail = "")
    {
        this->cause = newCause;
        this->detail = newDetail;
    }

    /// @param wait until capacity is expected; zero when that is not known
    void setWaitTooLong(Duration wait);

    FailureCause get() const { return this->cause; }

    /// @returns the cause and its detail as text for the caller
    std::string describe() const;

    /// Logs the retry of a statement, with the log position that the last upstream had to reach and the one it had.
    void logRetry(const TrafficState& state, const Target& last, const RequestId& id, int numSent) const;

private:
    FailureCause cause = FailureCause::None;
    std::string detail;
};

} // namespace lentiljunction
