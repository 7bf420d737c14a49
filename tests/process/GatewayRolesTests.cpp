#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace lentiljunction;
using lab::isServed;
using lab::LineCaller;

namespace {

/// @returns whether a write is served that was not committed by a former primary
bool isWrittenAtPrimary(GatewayFixture& fixture, const std::string& item)
{
    return isServed(LineCaller(fixture.getPort(0), "bookings").execute("WRITE " + item + " v")) && !fixture.getGroup().isCommittedByFormerPrimary(item);
}

/// Replaces the first primary, so that the primary record names one.
void replaceFirstPrimary(GatewayFixture& fixture)
{
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findPrimary() != "u1"; }));
    int number = 0;
    CHECK_TRUE(waitUntil([&] { return isWrittenAtPrimary(fixture, "first" + std::to_string(number++)); }));
}

} // namespace

TEST_GROUP(GatewayRoles) {};

// A promotion takes effect that no failover announces, and the former primary knows nothing of it. Guards against instances
// that go on with the former primary until something else replaces it.
TEST(GatewayRoles, promotionWithoutAnnouncementIsAdopted)
{
    GatewayFixture fixture(3);
    replaceFirstPrimary(fixture);
    std::string recorded = fixture.getGroup().findPrimary();
    std::string promoted = recorded == "u2" ? "u3" : "u2";
    fixture.getGroup().setIsolated(recorded, true);
    std::uint64_t termBefore = fixture.getGroup().findHighestTerm();
    fixture.getGroup().promoteLate(promoted);
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findHighestTerm() > termBefore; }));
    std::uint64_t term = fixture.getGroup().findHighestTerm();
    fixture.report(promoted, true);
    int number = 0;
    CHECK_TRUE(waitUntil([&] { return isWrittenAtPrimary(fixture, "second" + std::to_string(number++)); }));
    CHECK_TRUE(waitUntil([&] { return !fixture.getGroup().isPrimary(recorded); }));
    CHECK_TRUE(fixture.getGroup().isPrimary(promoted));
    CHECK_EQUAL(term, fixture.getGroup().findHighestTerm());
}

// The former primary answers nothing while it is replaced, and is cut off from the new one. Guards against a former primary
// that goes on because both of its demotions were lost.
TEST(GatewayRoles, formerPrimaryIsDemotedThoughItsDemotionsWereLost)
{
    constexpr std::chrono::milliseconds longerThanCommand { 700 };
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getGroup().setIsolated("u1", true);
    fixture.getGroup().setFault("u1", standin::LineUpstream::Fault::Silent);
    int number = 0;
    CHECK_TRUE(waitUntil([&] { return isWrittenAtPrimary(fixture, "w" + std::to_string(number++)) && fixture.getGroup().findPrimary() != "u1"; }));
    std::this_thread::sleep_for(longerThanCommand);
    fixture.getGroup().setFault("u1", standin::LineUpstream::Fault::None);
    CHECK_TRUE(fixture.getGroup().isPrimary("u1"));
    std::string primary = fixture.getGroup().findPrimary();
    fixture.report("u1", true);
    CHECK_TRUE(waitUntil([&] { return !fixture.getGroup().isPrimary("u1"); }));
    CHECK_TRUE(fixture.getGroup().isPrimary(primary));
}

// A demotion reaches the upstream that is the recorded primary again. Guards against a group that has no primary for ever.
TEST(GatewayRoles, recordedPrimaryThatWasDemotedLateIsReplaced)
{
    GatewayFixture fixture(3);
    replaceFirstPrimary(fixture);
    std::string recorded = fixture.getGroup().findPrimary();
    fixture.getGroup().demoteLate(recorded);
    fixture.report(recorded, false);
    int number = 0;
    CHECK_TRUE(waitUntil([&] { return isWrittenAtPrimary(fixture, "second" + std::to_string(number++)); }));
    CHECK(fixture.getGroup().findPrimary() != recorded);
}
