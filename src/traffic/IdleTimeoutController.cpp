#include "IdleTimeoutController.h"

#include <algorithm>
#include <cmath>

namespace lentiljunction {

namespace {

    /// Time constant of the average. Where connections are scarce an instance runs a few statements each second,
    /// so this covers several of them.
    constexpr double averagingSeconds = 4;
    /// The idle timeout grows or shrinks by the factor e in this time.
    constexpr double adaptationSeconds = 2;
    /// A connection that is idle for longer has probably died without notice.
    constexpr std::chrono::milliseconds maximumIdleTimeout { 4000 };

} // namespace

void IdleTimeoutController::onConnectionCount(std::size_t number, TimePoint now)
{
    if (this->since != TimePoint() && now > this->since) {
        double seconds = std::chrono::duration<double>(now - this->since).count();
        double decay = std::exp(-seconds / averagingSeconds);
        this->average = this->average * decay + static_cast<double>(this->numConnections) * (1 - decay);
        double direction = this->average < this->target ? 1 : -1;
        double factor = std::exp(direction * std::min(seconds, adaptationSeconds) / adaptationSeconds);
        Duration adapted(static_cast<Duration::rep>(static_cast<double>(this->idleTimeout.count()) * factor));
        this->idleTimeout = std::clamp<Duration>(adapted, minimumIdleTimeout, maximumIdleTimeout);
    }
    this->since = now;
    this->numConnections = number;
}

} // namespace lentiljunction
