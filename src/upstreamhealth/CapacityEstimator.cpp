#include "lentiljunction/upstreamhealth/CapacityEstimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lentiljunction {

namespace {

    /// An upstream queues several times its slots; a larger share for one instance would starve others.
    constexpr double slotMultiple = 3;
    /// The geometric mean of 12 samples of a heavy-tailed kind has a standard error of about a quarter.
    constexpr int samplesPerWindow = 12;
    constexpr std::chrono::milliseconds shortestWindow { 200 };
    /// A window that collects fewer samples than it needs in this time is discarded: the load has changed.
    constexpr std::chrono::milliseconds longestWindow { 2500 };
    /// Kinds with fewer samples in a window do not change their usual latency.
    constexpr int samplesPerKind = 3;
    /// Logarithms of the ratio to the usual latency: 16% above it is as usual, 42% above it is slow, twice is very slow.
    constexpr double usualExcess = 0.15;
    constexpr double slowExcess = 0.35;
    constexpr double verySlowExcess = 0.7;
    constexpr double smallestGrowth = 0.6;
    constexpr double growthShare = 0.12;
    constexpr double slowFactor = 0.85;
    constexpr double verySlowFactor = 0.7;
    constexpr double refusedFactor = 0.7;
    /// Refusals that arrive together count once.
    constexpr std::chrono::milliseconds refusalInterval { 150 };
    /// The usual latency follows faster statements within a few windows and slower ones within this time.
    constexpr double fasterWeight = 0.3;
    constexpr std::chrono::seconds slowerTime { 20 };
    /// Half of the concurrency halves the time of statements that wait for each other, which removes 0.69 of the
    /// logarithm. If less is removed, they do not all wait for each other.
    constexpr double expectedReduction = 0.5;
    /// With a limit of 1 the statements of this instance do not wait for each other.
    constexpr std::chrono::seconds longestAtOne { 1 };
    constexpr double returnFactor = 0.75;
    constexpr std::chrono::seconds measuringInterval { 10 };
    constexpr std::chrono::milliseconds measuringTime { 400 };
    constexpr std::chrono::milliseconds settlingTime { 100 };

} // namespace

CapacityEstimator::CapacityEstimator(int slots, const Clock& clock)
    : slots(std::max(1, slots))
    , clock(clock)
    , limit(this->slots)
{
    this->startWindow();
    this->lastSampleAt = clock.now();
    this->refusedAt = clock.now() - refusalInterval;
}

double CapacityEstimator::getLimit() const
{
    if (this->isExpired())
        return this->slots;
    return this->isMeasuring() ? std::max(1.0, this->limit / 2) : this->limit;
}

bool CapacityEstimator::isMeasuring() const
{
    return this->clock.wallNow().time_since_epoch() % measuringInterval < measuringTime;
}

void CapacityEstimator::startWindow()
{
    this->windowStart = this->clock.now();
    this->numInWindow = 0;
    this->isFullyUsed = false;
    for (std::pair<const StatementClass, Kind>& kind : this->kinds) {
        kind.second.number = 0;
        kind.second.sum = 0;
        kind.second.sumOfSquares = 0;
    }
}

void CapacityEstimator::onAnswered(const StatementClass& kind, Duration latency, int numRunning)
{
    TimePoint now = this->clock.now();
    if (this->isExpired()) {
        this->kinds.clear();
        this->slowdown.reset();
        this->limit = this->slots;
        this->numSamples = 0;
    }
    if (this->isExpired() || now - this->windowStart > longestWindow)
        this->startWindow();
    if (this->isMeasuring() != this->wasMeasuring) {
        if (std::exchange(this->wasMeasuring, !this->wasMeasuring))
            this->calibrate();
        this->startWindow();
    }
    this->lastSampleAt = now;
    this->numSamples++;
    // The first statements after the limit was halved still wait for earlier ones.
    if (this->wasMeasuring && now - latency < this->windowStart + settlingTime)
        return;
    Kind& samples = this->kinds[kind];
    double value = std::log(static_cast<double>(std::max<Duration::rep>(1, latency.count()))) - samples.usual.value_or(0);
    samples.number++;
    samples.sum += value;
    samples.sumOfSquares += value * value;
    this->numInWindow++;
    this->isFullyUsed = this->isFullyUsed || numRunning >= static_cast<int>(this->limit);
    if (this->wasMeasuring || this->numInWindow < samplesPerWindow || now - this->windowStart < shortestWindow)
        return;
    this->evaluate();
    this->startWindow();
}

CapacityEstimator::Window CapacityEstimator::summarize() const
{
    Window window;
    double sum = 0;
    double squares = 0;
    for (const std::pair<const StatementClass, Kind>& kind : this->kinds) {
        if (!kind.second.usual || kind.second.number == 0)
            continue;
        window.number += kind.second.number;
        sum += kind.second.sum;
        squares += kind.second.sumOfSquares;
    }
    if (window.number > 0)
        window.excess = sum / window.number;
    if (window.number > 1)
        window.noise = std::sqrt(std::max(0.0, squares / window.number - window.excess * window.excess) / (window.number - 1));
    return window;
}

void CapacityEstimator::evaluate()
{
    Window window = this->summarize();
    this->updateUsual(std::chrono::duration_cast<Duration>(this->clock.now() - this->windowStart));
    // Without a usual latency to compare with, the limit stays.
    if (window.number < samplesPerWindow / 2)
        return;
    if (window.excess > slowExcess + window.noise)
        return this->shrink(window.excess, window.noise);
    this->slowdown.reset();
    if (this->isFullyUsed && window.excess<usualExcess + window.noise&& this->clock.now() - this->refusedAt> refusalInterval)
        this->grow();
}

void CapacityEstimator::calibrate()
{
    Window window = this->summarize();
    this->onUsualLatencyChanged(window.excess * window.number / (window.number + samplesPerWindow / 2));
}

void CapacityEstimator::onUsualLatencyChanged(double change)
{
    for (std::pair<const StatementClass, Kind>& kind : this->kinds) {
        if (kind.second.usual)
            *kind.second.usual += change;
    }
}

void CapacityEstimator::updateUsual(Duration windowLength)
{
    double slowerWeight = 1 - std::exp(-static_cast<double>(windowLength.count()) / static_cast<double>(Duration(slowerTime).count()));
    for (std::pair<const StatementClass, Kind>& entry : this->kinds) {
        Kind& kind = entry.second;
        if (kind.number < samplesPerKind)
            continue;
        double mean = kind.sum / kind.number;
        if (!kind.usual) {
            kind.usual = mean;
            continue;
        }
        double certainty = std::min(1.0, static_cast<double>(kind.number) / (2 * samplesPerWindow));
        *kind.usual += mean * (mean < 0 ? fasterWeight * certainty : slowerWeight);
    }
}

void CapacityEstimator::grow()
{
    this->limit = std::min(this->limit + std::max(smallestGrowth, this->limit * growthShare), this->slots * slotMultiple);
}

void CapacityEstimator::shrink(double excess, double noise)
{
    if (this->slowdown && this->isCausedElsewhere(excess))
        return this->acceptAsUsual(excess);
    if (!this->slowdown)
        this->slowdown = Slowdown { this->limit, excess, this->clock.now() };
    this->slowdown->excess = std::max(this->slowdown->excess, excess);
    if (this->limit > 1)
        this->slowdown->since = this->clock.now();
    this->limit = std::max(1.0, this->limit * (excess > verySlowExcess + noise ? verySlowFactor : slowFactor));
}

bool CapacityEstimator::isCausedElsewhere(double excess) const
{
    bool isHalved = this->limit * 2 <= this->slowdown->limit;
    bool isAtOne = this->limit <= 1 && this->clock.now() - this->slowdown->since >= longestAtOne;
    return isAtOne || (isHalved && this->slowdown->excess - excess < expectedReduction);
}

void CapacityEstimator::acceptAsUsual(double excess)
{
    this->onUsualLatencyChanged(excess);
    bool isAtOne = this->limit <= 1;
    this->limit = isAtOne ? this->limit : std::max(this->limit, this->slowdown->limit * returnFactor);
    this->slowdown.reset();
}

void CapacityEstimator::onRefused()
{
    TimePoint now = this->clock.now();
    if (now - this->refusedAt < refusalInterval)
        return;
    this->refusedAt = now;
    this->limit = std::max(1.0, this->limit * refusedFactor);
}

} // namespace lentiljunction
