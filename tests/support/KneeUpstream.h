#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/upstreamhealth/CapacityEstimator.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <vector>

namespace lentiljunction::tests {

/// An upstream that executes a number of statements concurrently and queues the others, and the instances that use it.
/// Each instance has an estimator and always has work, up to its limit, for a part of the time.
class KneeUpstream {
public:
    KneeUpstream(ManualClock& clock, int knee, int announcedSlots, std::size_t numInstances)
        : clock(clock)
        , knee(knee)
    {
        for (std::size_t index = 0; index < numInstances; index++)
            this->instances.push_back(std::make_unique<CapacityEstimator>(announcedSlots, clock));
        this->numInFlight.resize(numInstances, 0);
    }

    /// Runs for a while, in steps of one millisecond.
    ///
    /// @param demand the statements that each instance wants to have in flight
    void run(Duration span, int demand)
    {
        this->totalInFlight = 0;
        this->numSteps = 0;
        this->numFinished = 0;
        this->largestInFlight = 0;
        for (TimePoint end = this->clock.now() + span; this->clock.now() < end; this->numSteps++) {
            this->submit(demand);
            this->clock.advance(std::chrono::milliseconds(1));
            this->work();
            std::size_t inFlight = this->running.size() + this->queue.size();
            this->totalInFlight += inFlight;
            this->largestInFlight = std::max(this->largestInFlight, inFlight);
        }
    }

    double getLimit(std::size_t instance = 0) const { return this->instances[instance]->getLimit(); }
    double getMeanInFlight() const { return static_cast<double>(this->totalInFlight) / static_cast<double>(this->numSteps); }

    ManualClock& clock;
    int knee;
    double speed = 1;
    std::size_t maximumQueue = 32;
    std::size_t numFinished = 0;
    std::size_t largestInFlight = 0;

private:
    struct Statement {
        std::size_t instance = 0;
        StatementClass kind;
        /// Milliseconds of work left at full speed.
        double work = 0;
        TimePoint sentAt;
    };

    void submit(int demand)
    {
        for (std::size_t index = 0; index < this->instances.size(); index++) {
            while (this->numInFlight[index] < std::min(demand, static_cast<int>(this->instances[index]->getLimit()))) {
                if (this->queue.size() >= this->maximumQueue) {
                    this->instances[index]->onRefused();
                    break;
                }
                this->numInFlight[index]++;
                this->queue.push_back(this->draw(index));
            }
        }
    }

    /// Three kinds of 6 ms, 18 ms and 30 ms; one in twelve of the last takes five times as long.
    Statement draw(std::size_t instance)
    {
        static const double times[] = { 6, 18, 30 };
        std::size_t kind = this->random.below(3);
        double factor = 0.6 + static_cast<double>(this->random.below(800)) / 1000;
        if (kind == 2 && this->random.below(12) == 0)
            factor *= 5;
        return { instance, { static_cast<Rank>(kind), kind == 1 }, times[kind] * factor, this->clock.now() };
    }

    void work()
    {
        while (!this->queue.empty() && this->running.size() < static_cast<std::size_t>(this->knee)) {
            this->running.push_back(this->queue.front());
            this->queue.pop_front();
        }
        for (std::size_t index = 0; index < this->running.size();) {
            Statement& statement = this->running[index];
            statement.work -= this->speed;
            if (statement.work > 0) {
                index++;
                continue;
            }
            this->instances[statement.instance]->onAnswered(statement.kind, std::chrono::duration_cast<Duration>(this->clock.now() - statement.sentAt), this->numInFlight[statement.instance]);
            this->numInFlight[statement.instance]--;
            this->numFinished++;
            this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    Random random { 11 };
    std::vector<std::unique_ptr<CapacityEstimator>> instances;
    std::vector<int> numInFlight;
    std::deque<Statement> queue;
    std::vector<Statement> running;
    std::size_t totalInFlight = 0;
    std::size_t numSteps = 0;
};

} // namespace lentiljunction::tests
