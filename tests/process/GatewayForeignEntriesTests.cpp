#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using lab::isServed;
using lab::LineCaller;

namespace {

/// @returns whether each instance serves a write, and an instance that starts now serves the database
bool servesAfterRestart(GatewayFixture& fixture)
{
    for (std::size_t index : { std::size_t(0), std::size_t(1) }) {
        if (!waitUntil([&] { return isServed(LineCaller(fixture.getPort(index), "bookings").execute("WRITE item" + std::to_string(index) + " v")); }))
            return false;
    }
    fixture.kill(1);
    std::size_t started = fixture.startInstance();
    return waitUntil([&] { return isServed(LineCaller(fixture.getPort(started), "bookings").execute("WRITE later v")); });
}

} // namespace

TEST_GROUP(GatewayForeignEntries) {};

// Another writer leaves arrays within arrays among the upstreams. Guards against instances that end by exceeding their
// stack, again after each start.
TEST(GatewayForeignEntries, deeplyNestedEntryEndsNoInstance)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    constexpr std::size_t numLevels = 400000;
    fixture.getStore().putRaw("servers", "deep", std::string(numLevels, '[') + std::string(numLevels, ']'));
    CHECK_TRUE(servesAfterRestart(fixture));
    // The list is followed as before.
    fixture.report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findPrimary() != "u1"; }));
}
