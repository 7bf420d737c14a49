#pragma once

#include "lentiljunction/core/EventLoop.h"

#include <functional>
#include <memory>

namespace lentiljunction {

/// Runs a task once at a time that can be changed.
///
/// Moving the time to a later one needs no system call: the timer fires at the earlier time, finds
/// that the task is not due yet and re-arms itself. Timeouts that rarely expire are therefore cheap.
///
/// Use only on the event loop's thread; the task runs on it too. The task is not called after
/// destruction.
class OneShotTimer {
public:
    /// @param loop runs the timer; must outlive it
    /// @param clock decides whether the task is due; must outlive the timer
    /// @param task called when the time is reached
    OneShotTimer(EventLoop& loop, const Clock& clock, std::function<void()> task);
    ~OneShotTimer();
    OneShotTimer(const OneShotTimer&) = delete;
    OneShotTimer& operator=(const OneShotTimer&) = delete;

    /// Sets the time, replacing an earlier setting.
    void setTime(TimePoint time);

    /// Sets the time if none is set or the given one is earlier.
    void setTimeIfEarlier(TimePoint time);

    /// Cancels the task until the time is set again.
    void clear();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace lentiljunction
