#include "GatewayBench.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <thread>

using namespace lentiljunction;
using lab::contains;
using lab::isServed;
using lab::LineCaller;

TEST_GROUP(GatewayConfiguration) {};

TEST(GatewayConfiguration, aNewConfigurationComesIntoForceAlsoAfterALostHistory)
{
    GatewayBench bench;
    CHECK_TRUE(bench.waitServed("bookings"));
    bench.configure(2, { "bookings", "checks" });
    CHECK_TRUE(bench.waitServed("checks"));
    bench.getStore().compact();
    bench.configure(3, { "bookings" });
    CHECK_TRUE(waitUntil([&] { return contains(LineCaller(bench.getPort(0), "checks").getStartupResponse(), "ERR NODB"); }));
    CHECK_TRUE(waitUntil([&] { return contains(LineCaller(bench.getPort(1), "checks").getStartupResponse(), "ERR NODB"); }));
    // An older version never comes back.
    bench.configure(2, { "bookings", "checks" });
    CHECK_TRUE(isServed(LineCaller(bench.getPort(0), "bookings").execute("READ a")));
    STRCMP_CONTAINS("ERR NODB", LineCaller(bench.getPort(0), "checks").getStartupResponse().c_str());
}

// One instance of an availability zone watches the configuration for the others. Whichever it is, and however
// the store turns it away, the others have a new configuration in time, and it has it from them.
TEST(GatewayConfiguration, anInstanceThatTheStoreTurnsAwayKeepsNoOtherFromANewConfiguration)
{
    constexpr std::chrono::milliseconds expectedInForce { 3000 };
    // Three instances share an availability zone, so at least one goes by another, whoever holds the duty.
    const std::vector<std::size_t> neighbours { 0, 3, 6 };
    GatewayBench bench(7);
    CHECK_TRUE(bench.waitServed("bookings"));
    std::this_thread::sleep_for(expectedInForce);
    std::uint64_t version = 2;
    for (standin::PlatformStore::Fault fault : { standin::PlatformStore::Fault::Silent, standin::PlatformStore::Fault::Unavailable }) {
        for (std::size_t refused : neighbours) {
            std::string database = "v" + std::to_string(version);
            bench.getStore().setDoorFault(refused, fault);
            bench.configure(version++, { "bookings", database });
            TimePoint end = SystemClock().now() + expectedInForce;
            std::set<std::size_t> waiting(neighbours.begin(), neighbours.end());
            waiting.erase(refused);
            while (!waiting.empty() && SystemClock().now() < end) {
                if (LineCaller(bench.getPort(*waiting.begin()), database).getStartupResponse() == "READY I -")
                    waiting.erase(waiting.begin());
            }
            CHECK_TRUE(waiting.empty());
            bench.getStore().setDoorFault(refused, standin::PlatformStore::Fault::None);
        }
    }
}

TEST(GatewayConfiguration, entriesThatCannotBeReadNameNoUpstream)
{
    GatewayBench bench(1);
    bench.getStore().put("servers", "broken", { { "service", 7 } });
    bench.getStore().put("servers", "odd", "text");
    bench.getStore().put("servers", "state", { { "service", "ledger" }, { "address", "127.0.0.1:9" }, { "zone", "z1" }, { "slots", 2 }, { "state", "dancing" }, { "db_role", "primary" } });
    CHECK_TRUE(bench.waitServed("bookings"));
    bench.getStore().put("config", "main", { { "version", 9 }, { "routes", "none" } });
    LineCaller caller(bench.getPort(0), "bookings");
    for (int index = 0; index < 20; index++)
        CHECK_TRUE(isServed(caller.execute("READ a" + std::to_string(index))));
}
