#include "../support/KneeUpstream.h"
#include "lentiljunction/upstreamhealth/lj_upstreamhealth.h"
#include "traffic/DiscoveredConcurrency.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

constexpr int announcedSlots = 4;
/// More than any limit: the instance always has statements waiting.
constexpr int busy = 40;

} // namespace

TEST_GROUP(CapacityEstimator)
{
    ManualClock clock;
    StatementClass kind { Rank::Normal, false };

    void answer(CapacityEstimator & estimator, int times, std::chrono::milliseconds latency, int numRunning)
    {
        for (int index = 0; index < times; index++) {
            clock.advance(std::chrono::milliseconds(20));
            estimator.onAnswered(kind, latency, numRunning);
        }
    }
};

// Guards against a limit that stays at the announced slots of a server that handles fewer or more.
TEST(CapacityEstimator, findsKneeOfUpstream)
{
    for (int knee : { 1, 2, 4, 8, 12 }) {
        KneeUpstream upstream(clock, knee, announcedSlots, 1);
        upstream.run(std::chrono::seconds(2), 1);
        upstream.run(std::chrono::seconds(6), busy);
        upstream.run(std::chrono::seconds(10), busy);
        CHECK(upstream.getMeanInFlight() > 0.8 * knee);
        CHECK(upstream.getMeanInFlight() < 1.8 * knee + 0.5);
    }
}

// Guards against an estimate that follows a change too late, in either direction.
TEST(CapacityEstimator, followsChangedKneeWithinTwoSeconds)
{
    KneeUpstream upstream(clock, 8, announcedSlots, 1);
    upstream.run(std::chrono::seconds(2), 1);
    upstream.run(std::chrono::seconds(25), busy);
    upstream.knee = 4;
    upstream.run(std::chrono::seconds(2), busy);
    upstream.run(std::chrono::seconds(1), busy);
    CHECK(upstream.getMeanInFlight() < 7.5);
    upstream.run(std::chrono::seconds(25), busy);
    upstream.knee = 8;
    upstream.run(std::chrono::seconds(2), busy);
    upstream.run(std::chrono::seconds(1), busy);
    CHECK(upstream.getMeanInFlight() > 6.5);
}

// Guards against a limit of 1 for a server that became slower but handles as many statements as before: it would then
// finish an eighth of what it can.
TEST(CapacityEstimator, keepsConcurrencyOfSlowerServer)
{
    for (int knee : { 4, 8, 12 }) {
        KneeUpstream upstream(clock, knee, announcedSlots, 1);
        upstream.run(std::chrono::seconds(2), 1);
        upstream.run(std::chrono::seconds(15), busy);
        upstream.speed = 0.4;
        upstream.run(std::chrono::seconds(3), busy);
        upstream.run(std::chrono::seconds(2), busy);
        CHECK(upstream.getMeanInFlight() > 0.7 * knee);
        CHECK(upstream.getMeanInFlight() < 2 * knee);
    }
}

// Guards against a usual latency that includes waiting: the limit would stay too high after the server is fast again.
TEST(CapacityEstimator, returnsToKneeOfServerThatIsFastAgain)
{
    KneeUpstream upstream(clock, 4, announcedSlots, 1);
    upstream.run(std::chrono::seconds(2), 1);
    upstream.run(std::chrono::seconds(15), busy);
    upstream.speed = 0.4;
    upstream.run(std::chrono::seconds(25), busy);
    upstream.speed = 1;
    upstream.run(std::chrono::seconds(15), busy);
    upstream.run(std::chrono::seconds(20), busy);
    CHECK(upstream.getMeanInFlight() < 1.8 * upstream.knee);
}

// Guards against instances that each take the others' load for the usual latency and grow together. The bound without an
// estimator is the upstream's own queue: 40 statements.
TEST(CapacityEstimator, instancesThatLearnAtOnceStayBounded)
{
    KneeUpstream upstream(clock, 8, announcedSlots, 6);
    upstream.run(std::chrono::seconds(2), 1);
    upstream.run(std::chrono::seconds(5), busy);
    upstream.run(std::chrono::seconds(60), busy);
    CHECK(upstream.getMeanInFlight() < 20);
    for (std::size_t index = 0; index < 6; index++)
        CHECK(upstream.getLimit(index) >= 1);
}

// Guards against an instance that is starved by refusals: at a limit of 1 its next statements correct the estimate.
TEST(CapacityEstimator, recoversFromRefusals)
{
    CapacityEstimator estimator(announcedSlots, clock);
    answer(estimator, 100, std::chrono::milliseconds(10), 1);
    for (int index = 0; index < 100; index++) {
        clock.advance(std::chrono::milliseconds(200));
        estimator.onRefused();
        CHECK(estimator.getLimit() >= 1);
        answer(estimator, 1, std::chrono::milliseconds(10), 1);
    }
    DOUBLES_EQUAL(1, estimator.getLimit(), 0.7);
    answer(estimator, 150, std::chrono::milliseconds(10), 12);
    CHECK(estimator.getLimit() > announcedSlots);
}

// Guards against single slow statements, and a kind that is slow by nature, being taken for a slow upstream.
TEST(CapacityEstimator, ignoresSlowStatementsAndSlowKinds)
{
    CapacityEstimator estimator(announcedSlots, clock);
    StatementClass slowKind { Rank::Background, true };
    double lowest = announcedSlots;
    for (int index = 0; index < 900; index++) {
        answer(estimator, 1, std::chrono::milliseconds(index % 25 == 0 ? 300 : 6), 2);
        // Now and then most statements are of a kind that takes ten times as long.
        for (int number = 0; number < 2 && index / 150 % 2 == 1; number++)
            estimator.onAnswered(slowKind, std::chrono::milliseconds(60), 2);
        lowest = std::min(lowest, estimator.getLimit());
    }
    // The limit is halved only to measure the usual latency.
    CHECK(lowest > announcedSlots / 2.0 - 0.1);
}

// Guards against an old estimate: an upstream that was not used may have changed.
TEST(CapacityEstimator, forgetsOldEvidence)
{
    CapacityEstimator estimator(announcedSlots, clock);
    for (int index = 0; index < 20; index++) {
        clock.advance(std::chrono::milliseconds(200));
        estimator.onRefused();
    }
    CHECK(estimator.getLimit() < 2);
    clock.advance(std::chrono::seconds(11));
    CHECK(estimator.getLimit() >= announcedSlots / 2.0);
    answer(estimator, 1, std::chrono::milliseconds(5), 1);
    CHECK_EQUAL(1, estimator.getNumSamples());
}

// Guards against a pause of this instance, and commands that take no slot, being taken for the speed of the upstream.
TEST(CapacityEstimator, takesNoSamplesOfPausesAndOtherCommands)
{
    PauseDetector pauses(std::chrono::milliseconds(50), std::chrono::milliseconds(50));
    DiscoveredConcurrency policy(UpstreamId("u"), announcedSlots, clock, pauses);
    pauses.onTick(clock.now());
    TimePoint before = clock.now();
    clock.advance(std::chrono::milliseconds(500));
    policy.onAnswer({ Duration(0), before, std::chrono::milliseconds(500), kind, 1 });
    pauses.onTick(clock.now());
    policy.onAnswer({ Duration(0), before, std::chrono::milliseconds(500), kind, 1 });
    policy.onAnswer({ Duration(0), clock.now(), std::chrono::milliseconds(1), std::nullopt, 1 });
    policy.onAnswer({ Duration(0), std::nullopt, std::chrono::milliseconds(1), kind, 1 });
    CHECK_EQUAL(0, policy.getEvidence()->numSamples);
    policy.onAnswer({ Duration(0), clock.now(), std::chrono::milliseconds(1), kind, 1 });
    CHECK_EQUAL(1, policy.getEvidence()->numSamples);
}
