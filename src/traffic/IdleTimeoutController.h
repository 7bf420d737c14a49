#pragma once

#include "lentiljunction/core/Clock.h"

#include <cstddef>

namespace lentiljunction {

/// How long an instance keeps a connection that it does not need now, where an upstream accepts fewer
/// connections than there are instances.
///
/// All instances share the connections, and none sees those of the others. So each holds a fair part
/// on average over time: while it holds less, connections are kept longer for the next statement, and
/// while it holds more, they are closed sooner. Nobody has to be turned away to learn that.
///
/// Not thread-safe; the traffic thread owns it.
class IdleTimeoutController {
public:
    /// @param newTarget connections that this instance may hold on average, such as 0.5
    void setTarget(double newTarget) { this->target = newTarget; }

    /// Notes the number of connections from now on.
    void onConnectionCount(std::size_t number, TimePoint now);

    /// @returns how long an idle connection is kept
    Duration getIdleTimeout() const { return this->idleTimeout; }

    /// @returns connections held on average
    double getAverage() const { return this->average; }

private:
    double target = 0;
    double average = 0;
    std::size_t numConnections = 0;
    TimePoint since;
    Duration idleTimeout = minimumIdleTimeout;

    /// A statement that follows at once still finds the connection.
    static constexpr std::chrono::milliseconds minimumIdleTimeout { 120 };
};

} // namespace lentiljunction
