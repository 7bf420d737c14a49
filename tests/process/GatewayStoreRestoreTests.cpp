#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace lentiljunction;
using lab::isServed;
using lab::LineCaller;

namespace {

/// Sends writes until one is served.
///
/// @returns the item that was written, or an empty string when none was served in time
std::string writeUntilServed(GatewayFixture& fixture, std::size_t instance, const std::string& prefix)
{
    std::string served;
    int number = 0;
    waitUntil([&] {
        std::string item = prefix + std::to_string(number++);
        if (isServed(LineCaller(fixture.getPort(instance), "bookings").execute("WRITE " + item + " v")))
            served = item;
        return !served.empty();
    });
    return served;
}

} // namespace

TEST_GROUP(GatewayStoreRestore) {};

// A change of the primary record on condition of a revision that the restored store lost must not be repeated for ever.
TEST(GatewayStoreRestore, primaryIsReplacedAfterRestoreLosesPreviousFailover)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getStore().saveCopy();
    fixture.getGroup().crash("u1");
    CHECK(!writeUntilServed(fixture, 0, "before").empty());
    std::string second = fixture.getGroup().findPrimary();
    fixture.getStore().restoreCopy();
    fixture.getGroup().crash(second);
    std::string item = writeUntilServed(fixture, 0, "after");
    CHECK(!item.empty());
    CHECK_EQUAL(1, fixture.getGroup().countCommits(item));
}

// A restored primary record without the last failover must not grant a lease on the former primary.
TEST(GatewayStoreRestore, formerPrimaryAcknowledgesNothingAfterRestoreLosesFailover)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getStore().saveCopy();
    fixture.getGroup().setIsolated("u1", true);
    fixture.getGroup().setFault("u1", standin::LineUpstream::Fault::Silent);
    CHECK(waitUntil([&] { return !writeUntilServed(fixture, 0, "before").empty() && fixture.getGroup().findPrimary() != "u1"; }));
    fixture.getStore().restoreCopy();
    // The former primary still runs in its old term, and a new instance knows only what the store holds.
    fixture.getGroup().setFault("u1", standin::LineUpstream::Fault::None);
    fixture.kill(1);
    std::size_t started = fixture.startInstance();
    for (int number = 0; number < 100; number++) {
        std::string item = "after" + std::to_string(number);
        if (isServed(LineCaller(fixture.getPort(started), "bookings").execute("WRITE " + item + " v")))
            CHECK_FALSE(fixture.getGroup().isCommittedByFormerPrimary(item));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(!writeUntilServed(fixture, started, "later").empty());
}

// A store that is older than the primary record must get a new record, without which no primary is replaced.
TEST(GatewayStoreRestore, primaryIsReplacedAfterRestoreLosesPrimaryRecord)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getStore().restoreCopy();
    fixture.configure(2, { "bookings" });
    for (const char* upstream : { "u1", "u2", "u3" })
        fixture.report(upstream, std::string(upstream) == "u1");
    fixture.getGroup().crash("u1");
    CHECK(!writeUntilServed(fixture, 0, "after").empty());
}
