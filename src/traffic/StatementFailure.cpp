#include "StatementFailure.h"

#include "lentiljunction/core/LogEvents.h"

namespace lentiljunction {

std::string StatementFailure::describe() const
{
    return std::string(lentiljunction::describe(this->cause)) + (this->detail.empty() ? "" : " " + this->detail);
}

void StatementFailure::setWaitTooLong(Duration wait)
{
    std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    this->set(FailureCause::WaitTooLong, wait > Duration(0) ? "expected again in " + std::to_string(milliseconds) + " ms" : "");
}

void StatementFailure::logRetry(const TrafficState& state, const Target& last, const RequestId& id, int numSent) const
{
    std::string line = "id=" + id.toString() + " attempt=" + std::to_string(numSent);
    if (last.source != nullptr)
        line += " upstream=" + last.source->getUpstream().id.toString();
    if (last.required) {
        std::optional<LogPoint> seen = state.findLastKnownHead(last.source->getUpstream().id);
        line += " required=" + toString(*last.required) + " had=" + (seen ? toString(*seen) : "unknown");
    }
    logEvent(events::statementRetried, line + " cause=" + toString(this->cause) + " reason=\"" + this->describe() + "\"");
}

} // namespace lentiljunction
