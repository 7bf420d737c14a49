#include "PortOpener.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds firstRetry { 50 };
    constexpr std::chrono::milliseconds longestRetry { 1000 };
    constexpr std::chrono::seconds reportInterval { 30 };

} // namespace

PortOpener::PortOpener(Scheduler& scheduler, const Clock& clock, std::string name, Attempt attempt, OpenedCallback onOpened)
    : scheduler(scheduler)
    , clock(clock)
    , name(std::move(name))
    , attempt(std::move(attempt))
    , onOpened(std::move(onOpened))
    , retries(firstRetry, longestRetry)
{
}

void PortOpener::start()
{
    if (this->isStopped || this->open)
        return;
    Failure failure;
    if (!this->attempt(failure))
        return this->onFailure(failure);
    this->open = true;
    if (this->numFailures > 0)
        logEvent(events::portOpened, "port=" + this->name + " failures=" + std::to_string(this->numFailures));
    this->onOpened();
}

void PortOpener::onFailure(const Failure& failure)
{
    if (this->numFailures++ == 0 || this->clock.now() >= this->nextReportAt) {
        this->nextReportAt = this->clock.now() + reportInterval;
        logEvent(events::portUnavailable, "port=" + this->name + " failures=" + std::to_string(this->numFailures) + " reason=\"" + failure.reason + "\"");
    }
    this->scheduler.schedule(this->retries.onFailure(), [this] { this->start(); });
}

} // namespace lentiljunction
