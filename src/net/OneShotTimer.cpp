#include "OneShotTimer.h"

#include "lentiljunction/core/HandlerGuard.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <optional>

namespace lentiljunction {

namespace {

    /// Delay before a task that threw runs again, unless it has set the timer.
    constexpr std::chrono::milliseconds failedTaskRetryDelay { 100 };

} // namespace

class OneShotTimer::Implementation : public std::enable_shared_from_this<OneShotTimer::Implementation> {
public:
    Implementation(EventLoop& loop, const Clock& clock, std::function<void()> task)
        : timer(loop.getContext())
        , clock(clock)
        , task(std::move(task))
    {
    }

    void setTime(TimePoint time)
    {
        this->deadline = time;
        if (this->armedFor && *this->armedFor <= time)
            return;
        this->arm(time);
    }

    void arm(TimePoint time)
    {
        this->armedFor = time;
        this->timer.expires_at(time);
        std::shared_ptr<Implementation> self = this->shared_from_this();
        this->timer.async_wait([self](const asio::error_code& error) {
            if (!error)
                self->fire();
        });
    }

    void fire()
    {
        this->armedFor.reset();
        if (!this->deadline || !this->task)
            return;
        if (this->clock.now() < *this->deadline)
            return this->arm(*this->deadline);
        this->deadline.reset();
        // The task may destroy this timer, so a copy of the task runs.
        std::function<void()> running = this->task;
        if (!HandlerGuard::run("timer", running) && this->task && !this->deadline)
            this->setTime(this->clock.now() + failedTaskRetryDelay);
    }

    asio::steady_timer timer;
    const Clock& clock;
    std::function<void()> task;
    std::optional<TimePoint> deadline;
    std::optional<TimePoint> armedFor;
};

OneShotTimer::OneShotTimer(EventLoop& loop, const Clock& clock, std::function<void()> task)
    : implementation(std::make_shared<Implementation>(loop, clock, std::move(task)))
{
}

OneShotTimer::~OneShotTimer()
{
    this->implementation->deadline.reset();
    this->implementation->task = nullptr;
    this->implementation->timer.cancel();
}

void OneShotTimer::setTime(TimePoint time)
{
    this->implementation->setTime(time);
}

void OneShotTimer::setTimeIfEarlier(TimePoint time)
{
    if (!this->implementation->deadline || time < *this->implementation->deadline)
        this->implementation->setTime(time);
}

void OneShotTimer::clear()
{
    this->implementation->deadline.reset();
}

} // namespace lentiljunction
