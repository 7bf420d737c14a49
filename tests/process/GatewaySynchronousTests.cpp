#include "SynchronousFixture.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace lentiljunction;

TEST_GROUP(GatewaySynchronous) {};

// The only replica with the last commits is down and no longer listed, the coordinator starts again, and the primary crashes.
// Guards against a coordinator that takes the replica that it knows for the only one (review case 7).
TEST(GatewaySynchronous, restartedCoordinatorWaitsForReplicaWhoseEntryExpired)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    makeSynchronous(fixture);
    std::optional<std::size_t> coordinator;
    CHECK_TRUE(waitUntil([&] { coordinator = fixture.findCoordinator(); return coordinator.has_value(); }));
    CHECK_TRUE(waitForLogHolders(fixture, 2));
    fixture.getGroup().setDeaf("u3", true);
    std::vector<std::string> acknowledged = writeFor(fixture, "early", std::chrono::milliseconds(500));
    CHECK(!acknowledged.empty());
    fixture.getGroup().crash("u2");
    fixture.getStore().remove("servers", "u2");
    fixture.kill(*coordinator);
    fixture.restart(*coordinator);
    CHECK_TRUE(fixture.waitUntilServed("later"));
    fixture.getGroup().crash("u1");
    std::this_thread::sleep_for(std::chrono::seconds(4));
    Failure failure;
    CHECK_TRUE(fixture.getGroup().restart("u2", failure));
    fixture.report("u2", false);
    fixture.getGroup().setDeaf("u3", false);
    CHECK_TRUE(waitUntil([&] { return !writeFor(fixture, "late", std::chrono::milliseconds(100)).empty(); }));
    LONGS_EQUAL(0, countLost(fixture, acknowledged));
}

// The only replica with the last commits starts again without its log when the primary crashes. Guards against its empty log
// being taken for the one that it had (review case 6).
TEST(GatewaySynchronous, replicaRestartedWithoutLogDoesNotVouchForItsEarlierLog)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getSite().reportStart("u1");
    makeSynchronous(fixture);
    CHECK_TRUE(waitForLogHolders(fixture, 2, true));
    fixture.getGroup().setDeaf("u3", true);
    std::vector<std::string> acknowledged = writeFor(fixture, "early", std::chrono::milliseconds(500));
    CHECK(!acknowledged.empty());
    fixture.getGroup().crash("u2");
    fixture.getGroup().crash("u1");
    Failure failure;
    CHECK_TRUE(fixture.getGroup().restart("u2", failure, false));
    fixture.getSite().reportStart("u2");
    std::this_thread::sleep_for(std::chrono::seconds(4));
    CHECK_TRUE(fixture.getGroup().restart("u1", failure));
    fixture.getGroup().setDeaf("u3", false);
    CHECK_TRUE(waitUntil([&] { return !writeFor(fixture, "late", std::chrono::milliseconds(100)).empty(); }));
    LONGS_EQUAL(0, countLost(fixture, acknowledged));
}

// A replica and then the primary are gone for good, and the other replica was behind. Guards against a failover that waits
// for ever for a log holder that never returns.
TEST(GatewaySynchronous, logHolderThatIsGoneForGoodDoesNotHoldFailoverForEver)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    makeSynchronous(fixture);
    CHECK_TRUE(waitForLogHolders(fixture, 2));
    fixture.getGroup().crash("u2");
    fixture.getStore().remove("servers", "u2");
    fixture.getGroup().crash("u1");
    fixture.getStore().remove("servers", "u1");
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findPrimary() == "u3"; }));
}

// The replica that has received the last commits does not respond when the primary crashes, and the other one has
// received nothing for a while. Guards against acknowledged commits that are lost.
TEST(GatewaySynchronous, acknowledgedCommitsSurviveFailoverWhileTheirReplicaIsSilent)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    makeSynchronous(fixture);
    fixture.getGroup().setDeaf("u3", true);
    std::vector<std::string> acknowledged = writeFor(fixture, "early", std::chrono::milliseconds(500));
    CHECK(!acknowledged.empty());
    fixture.getGroup().setFault("u2", standin::LineUpstream::Fault::Silent);
    fixture.getGroup().crash("u1");
    std::this_thread::sleep_for(std::chrono::seconds(3));
    fixture.getGroup().setFault("u2", standin::LineUpstream::Fault::None);
    fixture.getGroup().setDeaf("u3", false);
    // It follows the primary of a later term, if there is one.
    fixture.getGroup().setIsolated("u2", false);
    CHECK_TRUE(waitUntil([&] { return !writeFor(fixture, "late", std::chrono::milliseconds(100)).empty(); }));
    LONGS_EQUAL(0, countLost(fixture, acknowledged));
}

// A pause of a failover takes effect after the replica was resumed. Guards against a primary whose commits wait for ever for
// a replica that receives nothing.
TEST(GatewaySynchronous, replicaThatIsPausedLateReceivesAgain)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    makeSynchronous(fixture);
    fixture.getGroup().crash("u1");
    CHECK_TRUE(waitUntil([&] { return !writeFor(fixture, "a", std::chrono::milliseconds(100)).empty(); }));
    std::string primary = fixture.getGroup().findPrimary();
    // The first command that resumes it was sent when the failover ended.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    fixture.getGroup().pauseLate(primary == "u2" ? "u3" : "u2");
    CHECK_TRUE(waitUntil([&] { return !writeFor(fixture, "b", std::chrono::milliseconds(100)).empty(); }));
    STRCMP_EQUAL(primary.c_str(), fixture.getGroup().findPrimary().c_str());
}

// A planned failover, and one after a crash, pause replicas. Guards against a new primary whose commits wait for ever for a
// replica that receives nothing, and against a group that stays without a primary.
TEST(GatewaySynchronous, newPrimaryCommitsAgainAfterEachFailover)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    makeSynchronous(fixture);
    std::vector<std::string> acknowledged = writeFor(fixture, "a", std::chrono::milliseconds(200));
    fixture.getGroup().crash("u1");
    CHECK_TRUE(waitUntil([&] { return !writeFor(fixture, "b", std::chrono::milliseconds(100)).empty(); }));
    Failure failure;
    CHECK_TRUE(fixture.getGroup().restart("u1", failure));
    std::string second = fixture.getGroup().findPrimary();
    fixture.report(second, true, true);
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findPrimary() != second; }));
    CHECK_TRUE(waitUntil([&] { return !writeFor(fixture, "c", std::chrono::milliseconds(100)).empty(); }));
    LONGS_EQUAL(0, countLost(fixture, acknowledged));
}

// The commits of a new primary wait for a replica that receives nothing, and hold all its slots. Guards against the
// replacement of this primary, which works, by a replica that lacks acknowledged commits.
TEST(GatewaySynchronous, primaryWhoseCommitsWaitIsNotReplaced)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    makeSynchronous(fixture);
    fixture.getGroup().setServiceTime(std::chrono::milliseconds(3));
    fixture.getGroup().setSlotsHeldByCommits(true);
    Writers writers(fixture, 3);
    CHECK_TRUE(waitUntil([&] { return writers.countAcknowledged() >= 10; }));
    fixture.getGroup().setDeaf("u3", true);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    fixture.getGroup().crash("u1");
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findPrimary() == "u2"; }));
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::size_t numBefore = writers.countAcknowledged();
    fixture.getGroup().setDeaf("u3", false);
    CHECK_TRUE(waitUntil([&] { return writers.countAcknowledged() > numBefore; }));
    LONGS_EQUAL(0, countLost(fixture, writers.stop()));
    STRCMP_EQUAL("u2", fixture.getGroup().findPrimary().c_str());
    LONGS_EQUAL(2, fixture.getGroup().findHighestTerm());
}

// The process of a primary hangs: it accepts connections and answers nothing, and its entry expires. Guards against a group that
// waits for it for ever, as for one whose commits wait.
TEST(GatewaySynchronous, primaryThatHangsIsReplacedOnceItsEntryExpires)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    makeSynchronous(fixture);
    CHECK_TRUE(waitForLogHolders(fixture, 2));
    std::vector<std::string> acknowledged = writeFor(fixture, "early", std::chrono::milliseconds(300));
    fixture.getGroup().setFault("u1", standin::LineUpstream::Fault::Silent);
    fixture.getGroup().setIsolated("u1", true);
    fixture.getStore().remove("servers", "u1");
    CHECK_TRUE(waitUntil([&] { return !writeFor(fixture, "late", std::chrono::milliseconds(100)).empty(); }));
    CHECK(fixture.getGroup().findPrimary() != "u1");
    LONGS_EQUAL(0, countLost(fixture, acknowledged));
}
