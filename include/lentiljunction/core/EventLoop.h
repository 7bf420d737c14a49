#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/Scheduler.h"

#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace lentiljunction {

/// One thread that runs tasks in the order in which they were posted.
///
/// A task that throws is given up with event 121, and the loop continues. @see HandlerGuard
///
/// @code
/// EventLoop loop;
/// loop.start();
/// loop.post([] { doWork(); });
/// @endcode
class EventLoop : public Scheduler {
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Starts the thread.
    ///
    /// @param name at most 15 characters, see startThread
    /// @throws std::system_error when the system grants no thread
    void start(const std::string& name = "loop");

    /// Starts the thread, unless it runs.
    ///
    /// @param failure set when the system grants no thread
    /// @returns whether the thread runs
    bool tryStart(const std::string& name, Failure& failure);

    /// Stops the thread once the current task returns; waiting tasks are dropped.
    void stop();

    /// Queues a task to run as soon as possible. Safe to call from any thread.
    void post(Task task) override;

    /// Runs a task once after a delay. Safe to call from any thread.
    void schedule(Duration delay, Task task) override;

    /// Runs a task once after a delay, and again while it throws. For tasks that schedule their own next run. Safe to
    /// call from any thread.
    void scheduleUntilDone(Duration delay, Task task);

    /// Runs a task periodically until the loop stops, first after one interval, also after it threw. Safe to call from any
    /// thread.
    void repeat(Duration interval, Task task);

    /// @returns the asio context, for sockets and timers on this loop
    asio::io_context& getContext();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
