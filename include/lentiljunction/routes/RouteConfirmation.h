#pragma once

#include "lentiljunction/workspaces/KeyCheck.h"

#include <atomic>

namespace lentiljunction {

/// How long keys may be decided with one routing configuration.
///
/// Each configuration has its own object, so a thread that still has an older configuration never combines it with the
/// confirmation of a newer one.
///
/// Safe to use from any thread: the control thread writes it with each confirmation, and the traffic thread reads it.
///
/// @see RouteTable
class RouteConfirmation {
public:
    void set(const KeyFreshness& freshness)
    {
        this->currentUntil = freshness.currentUntil.time_since_epoch().count();
        this->acceptedUntil = freshness.acceptedUntil.time_since_epoch().count();
    }

    KeyFreshness get() const
    {
        return { BootTime(BootClock::duration(this->currentUntil)), BootTime(BootClock::duration(this->acceptedUntil)) };
    }

private:
    std::atomic<BootClock::duration::rep> currentUntil { BootTime::min().time_since_epoch().count() };
    std::atomic<BootClock::duration::rep> acceptedUntil { BootTime::min().time_since_epoch().count() };
};

} // namespace lentiljunction
