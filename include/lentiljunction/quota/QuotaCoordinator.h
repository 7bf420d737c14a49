#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <cstdint>
#include <optional>

namespace lentiljunction {

/// What a QuotaClient knows of an instance that it sends messages to.
class QuotaCoordinator {
public:
    FleetMember member;
    BootTime nextHeartbeatAt;

    /// @returns whether it answered in time when it was last asked, or was never asked
    bool isAvailable() const { return this->hasNotFailed; }

    /// @returns the number of its process; zero until it has answered
    std::uint64_t getEpoch() const { return this->epoch; }

    /// @returns a time on its boot clock that is not later than the present, once it has answered
    Duration getTime(BootTime now) const;

    void onSent(BootTime now);
    void onAnswer() { this->unansweredSince = std::nullopt; }

    /// @param time the time on its boot clock at which it answered
    /// @returns whether this is the first answer of its process, or the first after a failure
    bool onAlive(std::uint64_t answeringEpoch, Duration time, BootTime now);

    /// @returns whether it has not answered for too long
    bool isSilent(BootTime now) const;

    /// Restarts the wait for an answer, because this instance was paused.
    void restartWait(BootTime now);

    /// @returns whether it was available
    bool setUnavailable();

private:
    BootClock::duration getClockOffset(BootTime now) const;

    bool hasNotFailed = true;
    std::uint64_t epoch = 0;
    /// Its clock minus that of this instance, or less.
    BootClock::duration clockOffset { 0 };
    BootTime clockOffsetAt;
    /// When the oldest message that needs an answer was sent.
    std::optional<BootTime> unansweredSince;
};

} // namespace lentiljunction
