#include "lentiljunction/pool/ConnectionPool.h"

#include <rapidcheck.h>

#include <set>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

TEST_GROUP(ConnectionPool) {};

TEST(ConnectionPool, neverSharesConnectionNorReusesOneInUnknownState)
{
    CHECK(rc::check("for any sequence of events", [] {
        constexpr int maximum = 6;
        ManualClock clock;
        ConnectionPool pool(maximum, 2);
        std::set<ConnectionPool::Handle> opening;
        std::set<ConnectionPool::Handle> owned;
        std::set<ConnectionPool::Handle> gone;
        for (int count = 0; count < 120; count++) {
            clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
            pool.setDemand(*rc::gen::inRange(0, 5));
            for (ConnectionPool::Handle handle : pool.takeConnectionsToOpen(clock.now())) {
                RC_ASSERT(gone.count(handle) == 0 && owned.count(handle) == 0);
                opening.insert(handle);
            }
            for (ConnectionPool::Handle handle : pool.takeConnectionsToClose(clock.now())) {
                RC_ASSERT(owned.count(handle) == 0);
                gone.insert(handle);
            }
            RC_ASSERT(pool.getNumConnections() <= maximum);

            int choice = *rc::gen::inRange(0, 6);
            if (choice == 0 && !opening.empty()) {
                pool.onOpened(*opening.begin(), clock.now());
                opening.erase(opening.begin());
            } else if (choice == 1 && !opening.empty()) {
                pool.onLost(*opening.begin(), clock.now());
                gone.insert(*opening.begin());
                opening.erase(opening.begin());
            } else if (choice < 4) {
                std::optional<ConnectionPool::Handle> handle = choice == 2 ? pool.acquire(clock.now()) : pool.takeProbe(clock.now());
                if (handle) {
                    RC_ASSERT(gone.count(*handle) == 0);
                    RC_ASSERT(owned.insert(*handle).second);
                }
            } else if (!owned.empty()) {
                ConnectionPool::Handle handle = *owned.begin();
                owned.erase(owned.begin());
                bool isStateUnknown = choice == 5;
                if (isStateUnknown) {
                    pool.onNoReply(handle);
                    gone.insert(handle);
                }
                pool.release(handle, isStateUnknown ? ConnectionPool::Condition::StateUnknown : ConnectionPool::Condition::Clean, clock.now());
            }
        }
    }));
}

TEST(ConnectionPool, opensWarmConnectionsBeforeDemand)
{
    ManualClock clock;
    ConnectionPool pool(8, 2);
    CHECK_EQUAL(2, pool.takeConnectionsToOpen(clock.now()).size());
    CHECK_EQUAL(0, pool.takeConnectionsToOpen(clock.now()).size());
    pool.setDemand(3);
    CHECK_EQUAL(3, pool.takeConnectionsToOpen(clock.now()).size());
}

TEST(ConnectionPool, closesIdleConnectionsAsOldAsUnresponsiveOne)
{
    ManualClock clock;
    ConnectionPool pool(8, 3);
    for (ConnectionPool::Handle handle : pool.takeConnectionsToOpen(clock.now()))
        pool.onOpened(handle, clock.now());
    ConnectionPool::Handle unresponsive = *pool.acquire(clock.now());
    pool.onNoReply(unresponsive);
    pool.release(unresponsive, ConnectionPool::Condition::StateUnknown, clock.now());
    CHECK_EQUAL(3, pool.takeConnectionsToClose(clock.now()).size());
    CHECK_FALSE(pool.acquire(clock.now()).has_value());
}

TEST(ConnectionPool, backsOffAfterFailedOpens)
{
    ManualClock clock;
    ConnectionPool pool(8, 1);
    int numOpens = 0;
    for (int count = 0; count < 1000; count++) {
        clock.advance(std::chrono::milliseconds(10));
        for (ConnectionPool::Handle handle : pool.takeConnectionsToOpen(clock.now())) {
            numOpens++;
            pool.onLost(handle, clock.now());
        }
    }
    CHECK(numOpens >= 10);
    CHECK(numOpens <= 20);
}

TEST(ConnectionPool, closesConnectionsOfFormerGateImmediately)
{
    ManualClock clock;
    ConnectionPool pool(8, 2);
    pool.setDemand(2);
    for (ConnectionPool::Handle handle : pool.takeConnectionsToOpen(clock.now()))
        pool.onOpened(handle, clock.now());
    ConnectionPool::Handle busy = *pool.acquire(clock.now());
    pool.setDemand(0);
    pool.setRetention(0, Duration(0));
    CHECK_EQUAL(3, pool.takeConnectionsToClose(clock.now()).size());
    CHECK(pool.takeConnectionsToOpen(clock.now()).empty());

    pool.release(busy, ConnectionPool::Condition::Clean, clock.now());
    CHECK_EQUAL(1, pool.takeConnectionsToClose(clock.now()).size());
    CHECK_EQUAL(0, pool.getNumConnections());
}

TEST(ConnectionPool, closesUnusedConnectionDespiteProbes)
{
    ManualClock clock;
    ConnectionPool pool(8, 1);
    pool.setDemand(3);
    for (ConnectionPool::Handle handle : pool.takeConnectionsToOpen(clock.now()))
        pool.onOpened(handle, clock.now());
    pool.setDemand(0);
    std::size_t numClosed = 0;
    for (int second = 0; second < 40; second++) {
        clock.advance(std::chrono::seconds(1));
        while (std::optional<ConnectionPool::Handle> probed = pool.takeProbe(clock.now()))
            pool.release(*probed, ConnectionPool::Condition::Clean, clock.now());
        numClosed += pool.takeConnectionsToClose(clock.now()).size();
    }
    CHECK_EQUAL(3, numClosed);
    CHECK_EQUAL(1, pool.getNumConnections());
}
