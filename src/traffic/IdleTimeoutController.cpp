#include "IdleTimeoutController.h"

#include <algorithm>
#include <cmath>

namespace lentiljunction {

namespace {

    /// Some statements' worth of time at the rates at which connections are scarce, a few each second.
    constexpr double memorySeconds = 4;
    /// The span grows and shrinks by the factor e in this time.
    constexpr double adaptationSeconds = 2;
    /// Longer than this, a connection is rather one that died silently.
    constexpr std::chrono::milliseconds longestSpan { 4000 };

} // namespace

void IdleTimeoutController::onConnectionCount(std::size_t number, TimePoint now)
{
    if (this->since != TimePoint() && now > this->since) {
        double seconds = std::chrono::duration<double>(now - this->since).count();
        double kept = std::exp(-seconds / memorySeconds);
        this->average = this->average * kept + static_cast<double>(this->held) * (1 - kept);
        double direction = this->average < this->target ? 1 : -1;
        double factor = std::exp(direction * std::min(seconds, adaptationSeconds) / adaptationSeconds);
        Duration adapted(static_cast<Duration::rep>(static_cast<double>(this->span.count()) * factor));
        this->span = std::clamp<Duration>(adapted, shortestSpan, longestSpan);
    }
    this->since = now;
    this->held = number;
}

} // namespace lentiljunction
