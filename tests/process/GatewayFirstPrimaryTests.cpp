#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace lentiljunction;
using lab::isServed;
using lab::LineCaller;

namespace {

constexpr std::size_t numInstances = 3;

bool isWriteServed(GatewayFixture& fixture, const std::string& item)
{
    return isServed(LineCaller(fixture.getPort(0), "bookings").execute("WRITE " + item + " v"));
}

/// Waits until the primary record names the primary of the group.
bool waitUntilRecorded(GatewayFixture& fixture)
{
    return waitUntil([&] { return fixture.getStore().read("lentiljunction-lead", "main")["groups"].contains("ledger"); });
}

void killAll(GatewayFixture& fixture)
{
    for (std::size_t index = 0; index < numInstances; index++)
        fixture.kill(index);
}

void restartAll(GatewayFixture& fixture)
{
    for (std::size_t index = 0; index < numInstances; index++)
        fixture.restart(index);
}

} // namespace

TEST_GROUP(GatewayFirstPrimary) {};

// A first primary is lost for good while all instances are down, and its entry expires. Guards against a group that never has
// a primary again (review case 9).
TEST(GatewayFirstPrimary, firstPrimaryLostWhileAllInstancesAreDownIsReplaced)
{
    GatewayFixture fixture(numInstances);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    CHECK_TRUE(waitUntilRecorded(fixture));
    killAll(fixture);
    fixture.getGroup().crash("u1");
    fixture.getStore().remove("servers", "u1");
    restartAll(fixture);
    CHECK_TRUE(waitUntil([&] { return isWriteServed(fixture, "a"); }));
    CHECK(fixture.getGroup().findPrimary() != "u1");
}

// The entry of a primary that works expires while all instances are down, and returns within two seconds. Guards against the
// replacement of a primary that works because it is missing from the first list.
TEST(GatewayFirstPrimary, primaryWhoseEntryReturnsIsNotReplaced)
{
    GatewayFixture fixture(numInstances);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    CHECK_TRUE(waitUntilRecorded(fixture));
    CHECK_TRUE(isWriteServed(fixture, "a"));
    killAll(fixture);
    fixture.getStore().remove("servers", "u1");
    restartAll(fixture);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    fixture.report("u1", true);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    CHECK_TRUE(isWriteServed(fixture, "b"));
    // As long as a late failover could still take.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    STRCMP_EQUAL("u1", fixture.getGroup().findPrimary().c_str());
    LONGS_EQUAL(1, fixture.getGroup().findHighestTerm());
}
