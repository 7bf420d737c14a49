#pragma once

#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/Scheduler.h"

#include <atomic>
#include <functional>
#include <string>

namespace lentiljunction {

/// Opens a listening port, and tries again until it is open: another process may still hold the port, or the machine
/// may not have the address yet.
///
/// Use only on the scheduler's thread, except where noted.
///
/// @code
/// PortOpener opener(loop, clock, "sessions", [&](Failure& failure) { return server.listen(endpoint, failure); }, [] { });
/// opener.start();
/// @endcode
class PortOpener {
public:
    /// Tries to open the port once; returns whether it is open, or sets the failure.
    using Attempt = std::function<bool(Failure& failure)>;
    using OpenedCallback = std::function<void()>;

    /// @param scheduler runs the later attempts; it must run no task after this object is destroyed
    /// @param name names the port in log lines
    /// @param onOpened called once, when the port is open
    PortOpener(Scheduler& scheduler, const Clock& clock, std::string name, Attempt attempt, OpenedCallback onOpened);

    /// Makes the first attempt. Later ones follow without end.
    void start();

    /// Makes no further attempt.
    void stop() { this->isStopped = true; }

    /// @returns whether the port is open; safe to call from any thread
    bool isOpen() const { return this->open; }

private:
    void onFailure(const Failure& failure);

    Scheduler& scheduler;
    const Clock& clock;
    std::string name;
    Attempt attempt;
    OpenedCallback onOpened;
    Backoff retries;
    std::uint64_t numFailures = 0;
    TimePoint nextReportAt;
    bool isStopped = false;
    std::atomic<bool> open { false };
};

} // namespace lentiljunction
