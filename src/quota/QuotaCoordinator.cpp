#include "lentiljunction/quota/QuotaCoordinator.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds silenceTimeout { 250 };
    /// A clock drifts by less than one part in this many. The estimate of another clock is lowered by as much.
    constexpr int driftDivisor = 1000;

} // namespace

BootClock::duration QuotaCoordinator::getClockOffset(BootTime now) const
{
    return this->clockOffset - (now - this->clockOffsetAt) / driftDivisor;
}

Duration QuotaCoordinator::getTime(BootTime now) const
{
    return std::chrono::duration_cast<Duration>(now.time_since_epoch() + this->getClockOffset(now));
}

void QuotaCoordinator::onSent(BootTime now)
{
    if (!this->unansweredSince)
        this->unansweredSince = now;
}

bool QuotaCoordinator::onAlive(std::uint64_t answeringEpoch, Duration time, BootTime now)
{
    // The answer took some time, so its clock shows more than this by now. The fastest answer tells most.
    BootClock::duration offset = BootClock::duration(time) - now.time_since_epoch();
    bool isFirst = this->epoch != answeringEpoch;
    this->clockOffset = isFirst ? offset : std::max(offset, this->getClockOffset(now));
    this->clockOffsetAt = now;
    this->epoch = answeringEpoch;
    this->hasNotFailed = true;
    return isFirst;
}

bool QuotaCoordinator::isSilent(BootTime now) const
{
    return this->unansweredSince && now - *this->unansweredSince > silenceTimeout;
}

void QuotaCoordinator::restartWait(BootTime now)
{
    if (this->unansweredSince)
        this->unansweredSince = now;
}

bool QuotaCoordinator::setUnavailable()
{
    this->epoch = 0;
    this->unansweredSince = std::nullopt;
    return std::exchange(this->hasNotFailed, false);
}

} // namespace lentiljunction
