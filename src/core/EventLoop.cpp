#include "lentiljunction/core/EventLoop.h"

#include "lentiljunction/core/HandlerGuard.h"
#include "lentiljunction/core/Threads.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <system_error>
#include <thread>
#include <utility>

namespace lentiljunction {

namespace {

    /// Delay before a task that threw runs again.
    constexpr std::chrono::milliseconds failedTaskRetryDelay { 100 };

} // namespace

class EventLoop::Implementation {
public:
    Implementation()
        : guard(asio::make_work_guard(this->context))
    {
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::thread thread;
};

EventLoop::EventLoop()
    : implementation(std::make_unique<Implementation>())
{
}

EventLoop::~EventLoop()
{
    this->stop();
}

void EventLoop::start(const std::string& name)
{
    this->implementation->thread = startThread(name, [this] {
        // run() returns only when the loop stops; after an exception the remaining handlers still have their turn.
        while (!HandlerGuard::run("loop", [this] { this->implementation->context.run(); })) { }
    });
}

bool EventLoop::tryStart(const std::string& name, Failure& failure)
{
    if (this->implementation->thread.joinable())
        return true;
    try {
        this->start(name);
    } catch (const std::system_error& error) {
        failure.set(Failure::Kind::Unavailable, "thread " + name + ": " + error.what());
        return false;
    }
    return true;
}

void EventLoop::stop()
{
    this->implementation->context.stop();
    if (this->implementation->thread.joinable())
        this->implementation->thread.join();
}

void EventLoop::post(Task task)
{
    asio::post(this->implementation->context, std::move(task));
}

void EventLoop::schedule(Duration delay, Task task)
{
    std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(this->implementation->context, delay);
    timer->async_wait([timer, task = std::move(task)](const asio::error_code& error) {
        if (!error)
            task();
    });
}

void EventLoop::repeat(Duration interval, Task task)
{
    this->schedule(interval, [this, interval, task = std::move(task)] {
        HandlerGuard::run("periodic task", task);
        this->repeat(interval, task);
    });
}

void EventLoop::scheduleUntilDone(Duration delay, Task task)
{
    this->schedule(delay, [this, task = std::move(task)] {
        if (!HandlerGuard::run("scheduled task", task))
            this->scheduleUntilDone(failedTaskRetryDelay, task);
    });
}

asio::io_context& EventLoop::getContext()
{
    return this->implementation->context;
}

} // namespace lentiljunction
