#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using lab::contains;
using lab::LineCaller;

namespace {

/// Operators expect a change in force within this time.
constexpr std::chrono::milliseconds expectedInForce { 3000 };

/// @returns whether an instance opens sessions for a database within a time
bool opensWithin(GatewayFixture& fixture, std::size_t instance, const std::string& database, Duration limit)
{
    TimePoint end = SystemClock().now() + limit;
    while (SystemClock().now() < end) {
        if (LineCaller(fixture.getPort(instance), database).getStartupResponse() == "READY I -")
            return true;
    }
    return false;
}

} // namespace

TEST_GROUP(GatewayStaleRoutes) {};

// All instances of a zone lose the store, and the instances of other zones, which they reach, have a newer version.
TEST(GatewayStaleRoutes, zoneWithoutStoreLearnsNewVersionFromOtherZones)
{
    GatewayFixture fixture(7);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    const std::vector<std::size_t> zone { 0, 3, 6 };
    for (std::size_t instance : zone)
        CHECK_TRUE(waitUntil([&] { return contains(fixture.readMetrics(instance), "fact=\"instances\"} 7"); }));
    for (std::size_t instance : zone)
        fixture.getStore().setPortFault(instance, standin::PlatformStore::Fault::Silent);
    fixture.configure(2, { "bookings", "checks" });
    TimePoint end = SystemClock().now() + expectedInForce;
    for (std::size_t instance : zone)
        CHECK_TRUE(opensWithin(fixture, instance, "checks", std::chrono::duration_cast<Duration>(end - SystemClock().now())));
}

// The store executes writes without an answer. An instance that repeats its registration until it gets one stays out.
TEST(GatewayStaleRoutes, instanceStartsWhileAnswersToWritesAreLost)
{
    constexpr std::chrono::seconds expectedStart { 5 };
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getStore().setFault(standin::PlatformStore::Fault::DropsResponses);
    std::size_t started = fixture.startInstance();
    TimePoint end = SystemClock().now() + expectedStart;
    bool isServed = false;
    while (!isServed && SystemClock().now() < end)
        isServed = contains(LineCaller(fixture.getPort(started), "bookings").execute("READ a"), "DONE sig.");
    CHECK_TRUE(isServed);
}
