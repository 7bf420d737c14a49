#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <thread>

using namespace lentiljunction;
using lab::contains;
using lab::isServed;
using lab::LineCaller;

TEST_GROUP(GatewayConfiguration) {};

TEST(GatewayConfiguration, newConfigurationComesIntoForceAfterHistoryIsCompacted)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.configure(2, { "bookings", "checks" });
    CHECK_TRUE(fixture.waitUntilServed("checks"));
    fixture.getStore().compact();
    fixture.configure(3, { "bookings" });
    CHECK_TRUE(waitUntil([&] { return contains(LineCaller(fixture.getPort(0), "checks").getStartupResponse(), "ERR NODB"); }));
    CHECK_TRUE(waitUntil([&] { return contains(LineCaller(fixture.getPort(1), "checks").getStartupResponse(), "ERR NODB"); }));
    // An older version is not put in force again.
    fixture.configure(2, { "bookings", "checks" });
    CHECK_TRUE(isServed(LineCaller(fixture.getPort(0), "bookings").execute("READ a")));
    STRCMP_CONTAINS("ERR NODB", LineCaller(fixture.getPort(0), "checks").getStartupResponse().c_str());
}

// One instance of an availability zone watches the configuration for the others. If the store rejects this
// instance or does not answer it, the other instances must still get a new configuration in time.
TEST(GatewayConfiguration, instanceRejectedByStoreDoesNotDelayNewConfiguration)
{
    constexpr std::chrono::milliseconds expectedInForce { 3000 };
    // Three instances share an availability zone, so at least one of them relies on another, even if one of them is
    // the failover coordinator, which reads the store directly.
    const std::vector<std::size_t> neighbours { 0, 3, 6 };
    GatewayFixture fixture(7);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    std::this_thread::sleep_for(expectedInForce);
    std::uint64_t version = 2;
    for (standin::PlatformStore::Fault fault : { standin::PlatformStore::Fault::Silent, standin::PlatformStore::Fault::Unavailable }) {
        for (std::size_t refused : neighbours) {
            std::string database = "v" + std::to_string(version);
            fixture.getStore().setPortFault(refused, fault);
            fixture.configure(version++, { "bookings", database });
            TimePoint end = SystemClock().now() + expectedInForce;
            std::set<std::size_t> waiting(neighbours.begin(), neighbours.end());
            waiting.erase(refused);
            while (!waiting.empty() && SystemClock().now() < end) {
                if (LineCaller(fixture.getPort(*waiting.begin()), database).getStartupResponse() == "READY I -")
                    waiting.erase(waiting.begin());
            }
            CHECK_TRUE(waiting.empty());
            fixture.getStore().setPortFault(refused, standin::PlatformStore::Fault::None);
        }
    }
}

TEST(GatewayConfiguration, malformedEntriesAreIgnored)
{
    GatewayFixture fixture(1);
    fixture.getStore().put("servers", "broken", { { "service", 7 } });
    fixture.getStore().put("servers", "odd", "text");
    fixture.getStore().put("servers", "state", { { "service", "ledger" }, { "address", "127.0.0.1:9" }, { "zone", "z1" }, { "slots", 2 }, { "state", "dancing" }, { "db_role", "primary" } });
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getStore().put("config", "main", { { "version", 9 }, { "routes", "none" } });
    LineCaller caller(fixture.getPort(0), "bookings");
    for (int index = 0; index < 20; index++)
        CHECK_TRUE(isServed(caller.execute("READ a" + std::to_string(index))));
}
