#pragma once

#include <chrono>

namespace lentiljunction {

/// A point on the monotonic clock of one instance.
using TimePoint = std::chrono::steady_clock::time_point;
/// A point in wall-clock time.
using WallTime = std::chrono::system_clock::time_point;
/// A duration in microseconds.
using Duration = std::chrono::microseconds;

/// A clock that continues while the machine is suspended (CLOCK_BOOTTIME).
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<BootClock>;

    /// @returns the time since the machine started
    static time_point now();
};

/// A point on the clock that continues while the machine is suspended.
using BootTime = BootClock::time_point;

/// The time source of all decision classes.
///
/// They never read the system clock directly, so that tests can control the time.
///
/// @see SystemClock, ManualClock
class Clock {
public:
    virtual ~Clock() = default;

    /// @returns the monotonic time; safe to call from any thread
    virtual TimePoint now() const = 0;

    /// @returns the wall-clock time; safe to call from any thread
    virtual WallTime wallNow() const = 0;

    /// Unlike now(), includes the time during which the machine was suspended. Timeouts after which
    /// another instance may act, such as leases, must be measured with it.
    ///
    /// @returns the time since the machine started; safe to call from any thread
    virtual BootTime bootNow() const = 0;
};

/// The system clock.
class SystemClock : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
    BootTime bootNow() const override { return BootClock::now(); }
};

/// A clock that is advanced by tests.
///
/// @code
/// ManualClock clock;
/// clock.advance(std::chrono::milliseconds(5));
/// @endcode
class ManualClock : public Clock {
public:
    TimePoint now() const override { return this->monotonic; }
    WallTime wallNow() const override { return this->wall; }
    BootTime bootNow() const override { return this->boot; }

    /// @param step the duration by which all times advance
    void advance(Duration step)
    {
        this->monotonic += step;
        this->wall += step;
        this->boot += step;
    }

    /// Simulates a suspension of the machine: all times advance except the monotonic time.
    void suspend(Duration span)
    {
        this->wall += span;
        this->boot += span;
    }

private:
    TimePoint monotonic { std::chrono::hours(1) };
    WallTime wall { std::chrono::hours(500000) };
    BootTime boot { std::chrono::hours(2) };
};

/// The latest time that WallTime can hold, in milliseconds since the Unix epoch.
constexpr std::int64_t latestUnixMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(WallTime::max().time_since_epoch()).count();

/// @returns milliseconds since the Unix epoch
inline std::int64_t toUnixMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace lentiljunction
