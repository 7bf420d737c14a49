#include "../support/RouteFleet.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// An availability zone of the largest deployment in which small machines pass on the configuration.
constexpr std::size_t numInstances = 27;
/// 10 Mbit/s.
constexpr std::size_t bytesPerSecond = 1250000;
/// The strictest time of any deployment in which a change must be in force.
constexpr std::chrono::milliseconds applyLimit { 3000 };
/// A lender that is silent for longer counts as lost.
constexpr std::chrono::milliseconds shortestSilence { 100 };
/// What an instance may spend on control in a second.
constexpr std::uint64_t controlBytesPerSecond = 2048;

/// @param isUniform whether all routes have the same settings
std::shared_ptr<RouteTable> makeTable(std::uint64_t version, std::size_t numRoutes, bool isUniform = true)
{
    std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
    table->version = BundleVersion(version);
    for (std::size_t index = 0; index < numRoutes; index++) {
        Route route;
        route.database = DatabaseId("database-" + std::to_string(index));
        route.group = GroupId("group-" + std::to_string(index % 8));
        route.consistency = Consistency::ReadYourWrites;
        route.statementTimeout = std::chrono::milliseconds(800 + (isUniform ? 0 : index));
        route.targetLatency = std::chrono::milliseconds(400);
        route.maximumStaleness = std::chrono::milliseconds(2500);
        table->routes[route.database] = route;
        table->groups[route.group].maximumConnections = 70;
    }
    return table;
}

} // namespace

TEST_GROUP(RouteTransfer) {};

// A table of 1,500 routes was sent whole to every instance of a zone at once, over one thin link. No transfer ended within
// its time limit, and the small messages behind them timed out, so links were given up.
TEST(RouteTransfer, largeTableReachesZoneOverThinLinkBesideSmallMessages)
{
    for (bool isUniform : { true, false }) {
        RouteFleet fleet(numInstances, bytesPerSecond);
        fleet.start(makeTable(15, 66, isUniform));
        fleet.run(std::chrono::seconds(1));
        fleet.publish(makeTable(18, 1466, isUniform));
        CHECK_TRUE(fleet.runUntilAllHave(BundleVersion(18), applyLimit));
        CHECK_EQUAL(0, fleet.countLostLinks());
        CHECK(fleet.getLongestResponse() <= shortestSilence);
    }
}

// Each change of a large table cost as much as the whole table at every instance.
TEST(RouteTransfer, changeOfOneRouteCostsItsOwnSize)
{
    RouteFleet fleet(numInstances, bytesPerSecond);
    fleet.start(makeTable(18, 1466));
    fleet.run(std::chrono::seconds(1));
    fleet.publish(makeTable(20, 1467));
    CHECK_TRUE(fleet.runUntilAllHave(BundleVersion(20), std::chrono::seconds(1)));
    CHECK(fleet.countTransferBytes() <= numInstances * controlBytesPerSecond);
    CHECK_EQUAL(0, fleet.countLostLinks());
}

// While a transfer was under way, the next version came, and the one after it.
TEST(RouteTransfer, versionsInSeriesArriveAtAllInstancesInTime)
{
    RouteFleet fleet(numInstances, bytesPerSecond);
    fleet.start(makeTable(1, 66));
    fleet.run(std::chrono::seconds(1));
    constexpr std::uint64_t numVersions = 17;
    constexpr std::chrono::milliseconds gap { 800 };
    for (std::uint64_t version = 2; version <= numVersions; version++) {
        fleet.publish(makeTable(version, 1466 + version));
        fleet.run(gap);
        // Of the versions until now, those that were published longer ago than the limit must be in force.
        std::uint64_t numAllowed = static_cast<std::uint64_t>(applyLimit / gap);
        if (version > numAllowed + 1)
            CHECK_TRUE(fleet.runUntilAllHave(BundleVersion(version - numAllowed), Duration(0)));
    }
    CHECK_TRUE(fleet.runUntilAllHave(BundleVersion(numVersions), applyLimit));
    CHECK_EQUAL(0, fleet.countLostLinks());
}
