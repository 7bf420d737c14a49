#pragma once

#include "lentiljunction/core/Clock.h"

#include <cstddef>

namespace lentiljunction {

/// Adapts the idle timeout of connections to an upstream that accepts fewer connections than there are instances.
///
/// All instances share the connections of the upstream, and an instance does not see those of the others.
/// Each instance therefore holds its fair share on average over time: below its share it keeps idle
/// connections longer for the next statement, above it closes them sooner. No connection has to be refused
/// for an instance to notice that it holds too many.
///
/// Not thread-safe; the traffic thread owns it.
class IdleTimeoutController {
public:
    /// @param newTarget connections that this instance may hold on average; may be a fraction such as 0.5
    void setTarget(double newTarget) { this->target = newTarget; }

    /// Records a change of the number of open connections.
    void onConnectionCount(std::size_t number, TimePoint now);

    /// @returns how long an idle connection is kept open
    Duration getIdleTimeout() const { return this->idleTimeout; }

    /// @returns the moving average of open connections
    double getAverage() const { return this->average; }

private:
    double target = 0;
    double average = 0;
    std::size_t numConnections = 0;
    TimePoint since;
    Duration idleTimeout = minimumIdleTimeout;

    /// Long enough that a statement that follows immediately reuses the connection.
    static constexpr std::chrono::milliseconds minimumIdleTimeout { 120 };
};

} // namespace lentiljunction
