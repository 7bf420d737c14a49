#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using lab::isServed;
using lab::LineCaller;

namespace {

bool isWriteServed(GatewayFixture& fixture, std::size_t instance, const std::string& item)
{
    return isServed(LineCaller(fixture.getPort(instance), "bookings").execute("WRITE " + item + " v"));
}

} // namespace

TEST_GROUP(GatewayReplacedInstances) {};

// Each instance is replaced by one with another id, as planned. Then all processes end, and the primary is lost. Guards
// against a fleet that can replace no primary because those that left are counted in its majority (review case 8).
TEST(GatewayReplacedInstances, primaryIsReplacedAfterEachInstanceWasReplaced)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    for (std::size_t index = 0; index < 3; index++) {
        std::size_t added = fixture.startInstance();
        CHECK_TRUE(waitUntil([&] { return isWriteServed(fixture, added, "a"); }));
        fixture.drain(index);
    }
    LONGS_EQUAL(3, fixture.getStore().list("lentiljunction-instances").size());
    for (std::size_t index = 3; index < 6; index++)
        fixture.kill(index);
    fixture.getGroup().crash("u1");
    fixture.getStore().remove("servers", "u1");
    for (std::size_t index = 3; index < 6; index++)
        fixture.restart(index);
    CHECK_TRUE(waitUntil([&] { return isWriteServed(fixture, 3, "b"); }));
    CHECK(fixture.getGroup().findPrimary() != "u1");
}

// Most instances, the coordinator among them, are lost for good without a word, and then the primary. Guards against a fleet
// that waits for a majority that does not come back.
TEST(GatewayReplacedInstances, primaryIsReplacedAfterMostInstancesWereLost)
{
    GatewayFixture fixture(5);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    CHECK_TRUE(waitUntil([&] { return fixture.getStore().read("lentiljunction-lead", "main")["groups"].contains("ledger"); }));
    std::optional<std::size_t> coordinator;
    CHECK_TRUE(waitUntil([&] { coordinator = fixture.findCoordinator(); return coordinator.has_value(); }));
    std::vector<std::size_t> left;
    for (std::size_t index = 0; index < 5; index++) {
        if (index != *coordinator && left.size() < 2)
            left.push_back(index);
        else
            fixture.kill(index);
    }
    fixture.getGroup().crash("u1");
    fixture.getStore().remove("servers", "u1");
    CHECK_TRUE(waitUntil([&] { return isWriteServed(fixture, left[0], "a"); }));
    CHECK(fixture.getGroup().findPrimary() != "u1");
}
