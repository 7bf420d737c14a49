#include "SynchronousFixture.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <thread>

using namespace lentiljunction;

namespace {

/// Longer than it takes instances to read from the store that an upstream leaves or is gone, and to act on it.
constexpr std::chrono::seconds listTime { 4 };
/// Longer than any failover takes that waits for nobody, and shorter than one that gives up a log holder.
constexpr std::chrono::seconds failoverTime { 9 };

} // namespace

/// A group whose commits wait for one replica, with planned replacements of its upstreams.
TEST_GROUP(GatewayRelease)
{
    std::unique_ptr<GatewayFixture> fixture;

    void setup() override
    {
        fixture = std::make_unique<GatewayFixture>(3);
        CHECK_TRUE(fixture->waitUntilServed("bookings"));
        fixture->getSite().reportStart("u1");
        makeSynchronous(*fixture);
        CHECK_TRUE(waitForLogHolders(*fixture, 2, true));
    }

    void teardown() override { fixture.reset(); }

    /// The replica "u2" leaves, and is the only one that receives what is written meanwhile; then it ends.
    ///
    /// @returns the items of the writes that were acknowledged
    std::vector<std::string> drainOnlyReceiver(const std::function<void()>& stopOther)
    {
        fixture->report("u2", false, true);
        std::this_thread::sleep_for(listTime);
        stopOther();
        std::vector<std::string> acknowledged = writeFor(*fixture, "early", std::chrono::milliseconds(500));
        CHECK(!acknowledged.empty());
        fixture->getSite().end("u2");
        return acknowledged;
    }

    void startSuccessor(const std::string& id, const std::string& predecessor)
    {
        Failure failure;
        CHECK_TRUE(fixture->getSite().startSuccessor(id, predecessor, failure));
    }

    void restart(const std::string& id)
    {
        Failure failure;
        CHECK_TRUE(fixture->getGroup().restart(id, failure));
        fixture->report(id, id == fixture->getGroup().findPrimary());
    }

    /// Waits until writes are acknowledged again.
    bool waitUntilWritten(const std::string& prefix)
    {
        return waitUntil([&] { return !writeFor(*fixture, prefix, std::chrono::milliseconds(100)).empty(); });
    }

    std::size_t countRecordedHolders()
    {
        return fixture->getStore().read("lentiljunction-lead", "main")["groups"]["ledger"].value("log_holders", nlohmann::json::array()).size();
    }
};

// A replica drains and alone receives the last commits; it ends, and the primary crashes. Guards against a failover that takes
// the log of the replica that was deaf for complete, as a holder that leaves as planned was not waited for (review case 11).
TEST(GatewayRelease, replicaThatDrainedAloneHoldsItsCommitsUntilItsSuccessorHasThem)
{
    std::vector<std::string> acknowledged = drainOnlyReceiver([&] { fixture->getGroup().setDeaf("u3", true); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fixture->getGroup().crash("u1");
    std::this_thread::sleep_for(listTime);
    fixture->getGroup().setDeaf("u3", false);
    startSuccessor("u4", "u2");
    CHECK_TRUE(waitUntilWritten("late"));
    LONGS_EQUAL(0, countLost(*fixture, acknowledged));
}

// As above, but the primary returns and there is no successor. Guards against a promotion before the primary is back.
TEST(GatewayRelease, failoverAfterEndOfOnlyReceiverWaitsForPrimary)
{
    std::vector<std::string> acknowledged = drainOnlyReceiver([&] { fixture->getGroup().setDeaf("u3", true); });
    fixture->getGroup().crash("u1");
    fixture->getStore().remove("servers", "u1");
    std::this_thread::sleep_for(listTime + std::chrono::seconds(3));
    fixture->getGroup().setDeaf("u3", false);
    restart("u1");
    CHECK_TRUE(waitUntilWritten("late"));
    LONGS_EQUAL(0, countLost(*fixture, acknowledged));
}

// The other replica is down instead of deaf, and returns first. Guards against a failover that takes its log for complete.
TEST(GatewayRelease, replicaThatReturnsDoesNotVouchForOneThatLeft)
{
    std::vector<std::string> acknowledged = drainOnlyReceiver([&] { fixture->getGroup().crash("u3"); });
    fixture->getGroup().crash("u1");
    std::this_thread::sleep_for(listTime);
    restart("u3");
    std::this_thread::sleep_for(listTime);
    startSuccessor("u4", "u2");
    CHECK_TRUE(waitUntilWritten("late"));
    LONGS_EQUAL(0, countLost(*fixture, acknowledged));
}

// All instances are killed between the end of the replica and the crash of the primary, so none has seen the replica leave.
// Guards against knowledge of it that only a process has.
TEST(GatewayRelease, instancesThatStartAfterEndOfOnlyReceiverKnowIt)
{
    std::vector<std::string> acknowledged = drainOnlyReceiver([&] { fixture->getGroup().setDeaf("u3", true); });
    for (std::size_t index = 0; index < 3; index++)
        fixture->kill(index);
    fixture->getGroup().crash("u1");
    for (std::size_t index = 0; index < 3; index++)
        fixture->restart(index);
    std::this_thread::sleep_for(listTime + std::chrono::seconds(2));
    fixture->getGroup().setDeaf("u3", false);
    startSuccessor("u4", "u2");
    CHECK_TRUE(waitUntilWritten("late"));
    LONGS_EQUAL(0, countLost(*fixture, acknowledged));
}

// The primary is replaced as planned, and as a replica alone receives the last commits of the new one, which crashes after its
// end. Guards against a former primary that is no log holder.
TEST(GatewayRelease, formerPrimaryThatDrainedAloneHoldsCommitsOfItsSuccessor)
{
    fixture->report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { std::string primary = fixture->getGroup().findPrimary(); return !primary.empty() && primary != "u1"; }));
    CHECK_TRUE(waitUntilWritten("before"));
    std::string primary = fixture->getGroup().findPrimary();
    std::string other = primary == "u2" ? "u3" : "u2";
    std::this_thread::sleep_for(listTime);
    fixture->getGroup().setDeaf(other, true);
    std::vector<std::string> acknowledged = writeFor(*fixture, "early", std::chrono::milliseconds(500));
    CHECK(!acknowledged.empty());
    fixture->getSite().end("u1");
    fixture->getGroup().crash(primary);
    std::this_thread::sleep_for(listTime);
    fixture->getGroup().setDeaf(other, false);
    startSuccessor("u4", "u1");
    CHECK_TRUE(waitUntilWritten("late"));
    LONGS_EQUAL(0, countLost(*fixture, acknowledged));
}

// The store refuses the coordinator from the announcement of the replica on, so the record cannot be updated. Guards against a
// rule that needs the announcement in the record.
TEST(GatewayRelease, onlyReceiverIsKnownWhileStoreRefusesCoordinator)
{
    std::optional<std::size_t> coordinator;
    CHECK_TRUE(waitUntil([&] { coordinator = fixture->findCoordinator(); return coordinator.has_value(); }));
    fixture->getStore().setPortFault(*coordinator, standin::PlatformStore::Fault::Unavailable);
    std::vector<std::string> acknowledged = drainOnlyReceiver([&] { fixture->getGroup().setDeaf("u3", true); });
    fixture->getGroup().crash("u1");
    std::this_thread::sleep_for(listTime + std::chrono::seconds(3));
    fixture->getGroup().setDeaf("u3", false);
    restart("u1");
    CHECK_TRUE(waitUntilWritten("late"));
    LONGS_EQUAL(0, countLost(*fixture, acknowledged));
}

// A replica leaves for good while the other one is up to date, and the primary crashes some seconds later. Guards against a
// failover that waits for a holder that cannot return.
TEST(GatewayRelease, replicaThatLeftForGoodHoldsNoLaterFailover)
{
    Writers writers(*fixture, 3);
    fixture->report("u2", false, true);
    std::this_thread::sleep_for(listTime);
    fixture->getSite().end("u2");
    CHECK_TRUE(waitForLogHolders(*fixture, 1));
    std::size_t numBefore = writers.countAcknowledged();
    std::chrono::steady_clock::time_point crashedAt = std::chrono::steady_clock::now();
    fixture->getGroup().crash("u1");
    CHECK_TRUE(waitUntil([&] { return fixture->getGroup().findPrimary() == "u3"; }));
    CHECK(std::chrono::steady_clock::now() - crashedAt < failoverTime);
    // Its commits wait for a replica.
    restart("u1");
    CHECK_TRUE(waitUntil([&] { return writers.countAcknowledged() > numBefore; }));
    LONGS_EQUAL(0, countLost(*fixture, writers.stop()));
}

// All upstreams are replaced one after the other, each by a successor with its log, the primary with a planned failover.
// Guards against holders that stay, and against a release that callers notice for longer than a planned failover.
TEST(GatewayRelease, releaseOfAllUpstreamsLeavesNoGap)
{
    Writers writers(*fixture, 3);
    const char* successors[] = { "u4", "u5", "u6" };
    const char* upstreams[] = { "u2", "u3", "u1" };
    for (std::size_t index = 0; index < 3; index++) {
        std::string id = upstreams[index];
        fixture->report(id, id == fixture->getGroup().findPrimary(), true);
        CHECK_TRUE(waitUntil([&] { std::string primary = fixture->getGroup().findPrimary(); return !primary.empty() && primary != id; }));
        std::this_thread::sleep_for(listTime);
        fixture->getSite().end(id);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        startSuccessor(successors[index], id);
        CHECK_TRUE(waitForLogHolders(*fixture, 2, true));
    }
    CHECK(writers.getLongestGap() < failoverTime);
    LONGS_EQUAL(0, countLost(*fixture, writers.stop()));
}

// A replica left, the other one stays deaf, and the primary crashes for good. Guards against a failover that waits for longer than
// for any other log holder.
TEST(GatewayRelease, holderThatCannotBeProvedHoldsFailoverForBoundedTime)
{
    drainOnlyReceiver([&] { fixture->getGroup().setDeaf("u3", true); });
    std::this_thread::sleep_for(listTime);
    LONGS_EQUAL(2, countRecordedHolders());
    fixture->getGroup().crash("u1");
    fixture->getStore().remove("servers", "u1");
    std::chrono::steady_clock::time_point crashedAt = std::chrono::steady_clock::now();
    CHECK_TRUE(waitUntil([&] { return fixture->getGroup().findPrimary() == "u3"; }));
    constexpr std::chrono::seconds commitWait { 15 };
    CHECK(std::chrono::steady_clock::now() - crashedAt < commitWait + failoverTime);
}
