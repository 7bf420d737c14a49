#include "lentiljunction/routing/CatchUpEstimate.h"
#include "lentiljunction/routing/ReadRouter.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr int numDraws = 2000;

DatabaseConfig makeGroup()
{
    DatabaseConfig database;
    database.id = DatabaseId("db-a");
    for (const char* name : { "near", "far", "primary" })
        database.upstreams.push_back({ UpstreamId(name), ZoneId(name), "127.0.0.1", 1 });
    return database;
}

/// @returns how often each upstream came first
std::map<UpstreamId, int> countFirstChoices(ReadRouter& router, TimePoint now)
{
    std::map<UpstreamId, int> counts;
    for (int count = 0; count < numDraws; count++)
        counts[router.getOrder(makeGroup(), UpstreamId("primary"), now).front()]++;
    return counts;
}

} // namespace

TEST_GROUP(ReadRouter)
{
    ManualClock clock;
    ReadRouter router { ZoneId("near"), 7 };
};

TEST(ReadRouter, prefersNearestReplicaWhenIdle)
{
    std::map<UpstreamId, int> counts = countFirstChoices(router, clock.now());
    CHECK(counts[UpstreamId("near")] > numDraws * 90 / 100);
    CHECK(counts[UpstreamId("primary")] < numDraws / 100);
}

TEST(ReadRouter, spreadsReadsWhenReplicasAreSlow)
{
    for (int count = 0; count < 50; count++) {
        router.onAnswer(UpstreamId("near"), std::chrono::milliseconds(200));
        router.onAnswer(UpstreamId("far"), std::chrono::milliseconds(200));
        router.onAnswer(UpstreamId("primary"), std::chrono::milliseconds(20));
    }
    std::map<UpstreamId, int> counts = countFirstChoices(router, clock.now());
    CHECK(counts[UpstreamId("primary")] > numDraws / 2);
    CHECK(counts[UpstreamId("near")] > 0);
    CHECK(counts[UpstreamId("far")] > 0);
}

TEST(ReadRouter, avoidsFailedUpstreamUntilBackOffEnds)
{
    router.onFailed(UpstreamId("near"), clock.now());
    CHECK_EQUAL(0, countFirstChoices(router, clock.now())[UpstreamId("near")]);
    clock.advance(std::chrono::seconds(1));
    CHECK(countFirstChoices(router, clock.now())[UpstreamId("near")] > 0);
}

TEST_GROUP(CatchUpEstimate) {};

TEST(CatchUpEstimate, skipsWaitForSlowReplicaUntilEstimateRecovers)
{
    CatchUpEstimate estimate;
    CHECK(estimate.isWaitWorthwhile(std::chrono::milliseconds(5)));
    for (int count = 0; count < 30; count++)
        estimate.onCatchUpTimeout(std::chrono::milliseconds(50));
    CHECK_FALSE(estimate.isWaitWorthwhile(std::chrono::milliseconds(5)));
    for (int count = 0; count < 30; count++)
        estimate.onWaitSkipped();
    CHECK(estimate.isWaitWorthwhile(std::chrono::milliseconds(5)));
}
