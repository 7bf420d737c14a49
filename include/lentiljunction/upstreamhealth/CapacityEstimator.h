#pragma once

#include "lentiljunction/admission/ConcurrencyPolicy.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// Estimates how many statements of this instance an upstream executes concurrently without slowing them down.
///
/// Latencies are compared with the best recent ones of the same kind, as logarithms, because kinds differ by a factor of
/// ten and have heavy tails. Samples are collected in short windows. At the end of a window the limit grows by a small
/// step if it was fully used and the statements took no longer than usual, and shrinks by a factor if they took longer
/// by more than the noise of the samples. A refusal shrinks it as well.
///
/// If the statements stay slow although the limit was halved, this instance's concurrency is not the cause: the upstream
/// itself became slower. The slower latency is then the usual one, and the limit returns.
///
/// Under steady load the usual latency would come to include the time for which statements wait for each other. Therefore
/// all instances halve their limits for 0.4 s in every 10 s of wall-clock time, and the latency of that time is the usual
/// one. Unless the upstream is overloaded, that costs 2% of its throughput at most.
///
/// The limit is never below 1, so the statements that would correct a wrong estimate are always sent. Evidence expires.
///
/// Decides without sockets and timers. Not thread-safe; the traffic thread owns it.
class CapacityEstimator {
public:
    /// @param slots the statements that the upstream is said to execute concurrently, at least 1
    CapacityEstimator(int slots, const Clock& clock);

    /// Records that a statement was answered.
    ///
    /// @param latency from sending it to its answer
    /// @param numRunning the statements of this instance that ran when it was answered, itself included
    void onAnswered(const StatementClass& kind, Duration latency, int numRunning);

    /// Records that the upstream refused a statement.
    void onRefused();

    /// @returns the limit, from 1 to three times the slots
    double getLimit() const;

    /// @returns the samples since the evidence last expired
    std::size_t getNumSamples() const { return this->numSamples; }

    /// @returns the time since the last sample
    Duration getAge() const { return std::chrono::duration_cast<Duration>(this->clock.now() - this->lastSampleAt); }

private:
    /// The logarithms of the latencies of one kind in the current window, relative to the usual one.
    struct Kind {
        std::optional<double> usual;
        int number = 0;
        double sum = 0;
        double sumOfSquares = 0;
    };

    struct Window {
        int number = 0;
        /// The mean logarithm of the ratio to the usual latency.
        double excess = 0;
        /// The standard error of the mean.
        double noise = 0;
    };

    /// A series of reductions because of slow statements.
    struct Slowdown {
        double limit = 0;
        double excess = 0;
        TimePoint since;
    };

    bool isExpired() const { return this->clock.now() - this->lastSampleAt > evidenceLifetime; }
    /// @returns whether the limit is halved now to measure the usual latency
    bool isMeasuring() const;
    void startWindow();
    /// @returns the mean of the samples in the window that have a usual latency
    Window summarize() const;
    void calibrate();
    void onUsualLatencyChanged(double change);
    void evaluate();
    void updateUsual(Duration windowLength);
    void grow();
    void shrink(double excess, double noise);
    bool isCausedElsewhere(double excess) const;
    void acceptAsUsual(double excess);

    static constexpr std::chrono::seconds evidenceLifetime { 10 };

    double slots;
    const Clock& clock;
    double limit;
    std::map<StatementClass, Kind> kinds;
    std::size_t numSamples = 0;
    int numInWindow = 0;
    bool isFullyUsed = false;
    bool wasMeasuring = false;
    TimePoint windowStart;
    TimePoint lastSampleAt;
    TimePoint refusedAt;
    std::optional<Slowdown> slowdown;
};

} // namespace lentiljunction
