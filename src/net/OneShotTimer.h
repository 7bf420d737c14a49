#pragma once

#include "lentiljunction/core/EventLoop.h"

#include <functional>
#include <memory>

namespace lentiljunction {

/// Calls back once at a time that may be moved.
///
/// Moving the time to a later one costs no system call: the timer fires at the earlier time, sees
/// that it is not due and waits on. So a deadline that is nearly always met in time is cheap.
///
/// Everything runs on the thread of the event loop. Nothing is called after destruction.
class OneShotTimer {
public:
    /// @param task called when the time has come
    OneShotTimer(EventLoop& loop, const Clock& clock, std::function<void()> task);
    ~OneShotTimer();
    OneShotTimer(const OneShotTimer&) = delete;
    OneShotTimer& operator=(const OneShotTimer&) = delete;

    /// Sets or moves the time.
    void setTime(TimePoint time);

    /// Sets the time unless an earlier one is set already.
    void setTimeIfEarlier(TimePoint time);

    /// Calls nothing until the next setTime.
    void clear();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace lentiljunction
