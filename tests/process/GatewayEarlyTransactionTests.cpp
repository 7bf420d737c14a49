#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <thread>

using namespace lentiljunction;
using lab::isServed;
using lab::LineCaller;

TEST_GROUP(GatewayEarlyTransaction) {};

// Transactions begin on upstreams before their first statement comes, and some of these upstreams begin to drain. Guards against a
// first statement on an upstream that drains, and against transactions that fail for it.
TEST(GatewayEarlyTransaction, firstStatementRunsOnNoDrainingUpstream)
{
    GatewayFixture fixture(2);
    fixture.configure(2, { "bookings", "checks" });
    CHECK_TRUE(fixture.waitUntilServed("checks"));
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (int index = 0; index < 6; index++) {
        callers.push_back(std::make_unique<LineCaller>(fixture.getPort(0), "checks"));
        callers.back()->execute("BEGIN READ");
    }
    fixture.report("u2", false, true);
    fixture.report("u3", false, true);
    // The list of upstreams is read once a second.
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    for (const std::unique_ptr<LineCaller>& caller : callers) {
        STRCMP_CONTAINS("DONE sig.u1", caller->execute("READ item").c_str());
        CHECK(isServed(caller->execute("COMMIT")));
    }
}

// A statement of the transaction has run on an upstream that begins to drain. Guards against a transaction whose later statements
// run on another connection.
TEST(GatewayEarlyTransaction, transactionThatHasRunStaysOnDrainingUpstream)
{
    GatewayFixture fixture(2);
    fixture.configure(2, { "bookings", "checks" });
    CHECK_TRUE(fixture.waitUntilServed("checks"));
    LineCaller caller(fixture.getPort(0), "checks");
    caller.execute("BEGIN READ");
    std::string first = caller.execute("READ item");
    CHECK(isServed(first));
    fixture.report("u2", false, true);
    fixture.report("u3", false, true);
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    STRCMP_EQUAL(first.c_str(), caller.execute("READ item").c_str());
    CHECK(isServed(caller.execute("COMMIT")));
}
