#pragma once

#include "lentiljunction/core/Clock.h"

#include <functional>
#include <map>
#include <utility>

namespace lentiljunction {

/// Runs tasks on one thread.
///
/// @see EventLoop, ManualScheduler
class Scheduler {
public:
    using Task = std::function<void()>;

    virtual ~Scheduler() = default;

    /// Queues a task to run as soon as possible.
    virtual void post(Task task) = 0;

    /// Runs a task once after a delay.
    virtual void schedule(Duration delay, Task task) = 0;
};

/// Runs tasks when a test advances its clock. Not thread-safe.
///
/// @code
/// ManualClock clock;
/// ManualScheduler scheduler(clock);
/// scheduler.schedule(std::chrono::milliseconds(5), [] { doWork(); });
/// scheduler.advance(std::chrono::milliseconds(5)); // runs the task
/// @endcode
class ManualScheduler : public Scheduler {
public:
    /// @param clock the clock that advance() moves; must outlive this object
    explicit ManualScheduler(ManualClock& clock)
        : clock(clock)
    {
    }

    void post(Task task) override { this->schedule(Duration(0), std::move(task)); }
    void schedule(Duration delay, Task task) override { this->tasks.emplace(this->clock.now() + delay, std::move(task)); }

    /// Advances the clock and runs all tasks that become due, in order.
    void advance(Duration span)
    {
        TimePoint end = this->clock.now() + span;
        while (!this->tasks.empty() && this->tasks.begin()->first <= end) {
            std::multimap<TimePoint, Task>::iterator first = this->tasks.begin();
            if (first->first > this->clock.now())
                this->clock.advance(std::chrono::duration_cast<Duration>(first->first - this->clock.now()));
            Task task = std::move(first->second);
            this->tasks.erase(first);
            task();
        }
        if (this->clock.now() < end)
            this->clock.advance(std::chrono::duration_cast<Duration>(end - this->clock.now()));
    }

private:
    ManualClock& clock;
    std::multimap<TimePoint, Task> tasks;
};

} // namespace lentiljunction
