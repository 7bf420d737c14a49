#include "DiscoveredConcurrency.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// A line is written when the limit changed by this factor, and not more often than the interval.
    constexpr double loggedFactor = 1.5;
    constexpr std::chrono::seconds logInterval { 1 };

} // namespace

DiscoveredConcurrency::DiscoveredConcurrency(UpstreamId upstream, int slots, const Clock& clock, const PauseDetector& pauses)
    : upstream(std::move(upstream))
    , clock(clock)
    , pauses(pauses)
    , estimator(slots, clock)
    , loggedLimit(this->estimator.getLimit())
    , loggedAt(clock.now())
{
}

void DiscoveredConcurrency::onAnswer(const Answer& answer)
{
    if (!answer.kind || !answer.sentAt || this->pauses.isAffected(*answer.sentAt, this->clock.now()))
        return;
    this->estimator.onAnswered(*answer.kind, answer.answerTime, answer.numRunning);
    this->logChange("latency");
}

void DiscoveredConcurrency::onRefused()
{
    this->estimator.onRefused();
    this->logChange("refused");
}

void DiscoveredConcurrency::logChange(const char* cause)
{
    double limit = this->estimator.getLimit();
    bool isChanged = limit >= this->loggedLimit * loggedFactor || limit * loggedFactor <= this->loggedLimit;
    if (!isChanged || this->clock.now() - this->loggedAt < logInterval)
        return;
    logEvent(events::capacityChanged, "upstream=" + this->upstream.toString() + " from=" + std::to_string(this->loggedLimit) + " to=" + std::to_string(limit) + " cause=" + cause + " samples=" + std::to_string(this->estimator.getNumSamples()));
    this->loggedLimit = limit;
    this->loggedAt = this->clock.now();
}

} // namespace lentiljunction
