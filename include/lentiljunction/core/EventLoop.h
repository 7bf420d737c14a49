#pragma once

#include "lentiljunction/core/Scheduler.h"

#include <memory>

namespace asio {
class io_context;
}

namespace lentiljunction {

/// One thread that runs tasks in the order in which they were posted.
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
    void start();

    /// Stops the thread after the task under way; tasks that wait are dropped.
    void stop();

    /// Runs a task soon. Safe to call from any thread.
    void post(Task task) override;

    /// Runs a task once after a delay. Safe to call from any thread.
    void schedule(Duration delay, Task task) override;

    /// Runs a task again and again until the loop stops. Safe to call from any thread.
    void repeat(Duration interval, Task task);

    /// @returns the context for adapters of sockets
    asio::io_context& getContext();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
