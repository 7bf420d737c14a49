#include "lentiljunction/admission/DescriptorBudget.h"
#include "lentiljunction/admission/MemoryAccount.h"
#include "lentiljunction/admission/SharedConcurrencyLimit.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

TEST_GROUP(SharedConcurrencyLimit)
{
    SharedConcurrencyLimit limit { 2 };

    void answer(int times, std::chrono::milliseconds latency)
    {
        for (int index = 0; index < times; index++)
            limit.onAnswered(latency, limit.getLimit());
    }
};

TEST(SharedConcurrencyLimit, keepsLimitWhenLatencyVaries)
{
    for (int index = 0; index < 100; index++)
        answer(1, std::chrono::milliseconds(index % 5 == 0 ? 60 : 5));
    CHECK(limit.getLimit() >= 2);
}

TEST(SharedConcurrencyLimit, shrinksOnRefusalsAndGrowsOnFastAnswers)
{
    limit.onRefused();
    limit.onRefused();
    CHECK_EQUAL(1, limit.getLimit());
    answer(60, std::chrono::milliseconds(5));
    CHECK_EQUAL(6, limit.getLimit());
}

TEST(SharedConcurrencyLimit, shrinksToOneOnSlowAnswers)
{
    answer(500, std::chrono::milliseconds(200));
    CHECK_EQUAL(1, limit.getLimit());
}

TEST_GROUP(DescriptorBudget) {};

// Guards against callers that leave no descriptors to control, and against machines whose callers are refused without need.
TEST(DescriptorBudget, keepsReserveAndLeavesMostToCallers)
{
    for (std::size_t limit : { std::size_t(64), std::size_t(120), std::size_t(1024), std::size_t(4300), std::size_t(4400), std::size_t(8192) }) {
        DescriptorBudget budget(limit);
        std::size_t maximum = budget.getMaximumSessions();
        CHECK(limit - maximum >= std::min(limit / 2, std::size_t(128)));
        CHECK(maximum >= limit / 2);
        CHECK(budget.mayOpenSession(maximum - 1) && !budget.mayOpenSession(maximum));
    }
    // The platform keeps 200 of 4,300 descriptors back for files.
    CHECK(DescriptorBudget(4300).getMaximumSessions() < 4300 - 200 - 128);
}

TEST_GROUP(MemoryAccount) {};

// Guards against sessions that are closed only once statements have to be refused, and against bytes that stay in the account.
TEST(MemoryAccount, closesSessionsBeforeStatementsAreRefused)
{
    constexpr std::size_t limit = 160U << 20;
    MemoryAccount account;
    account.setBudget(MemoryBudget(limit));
    std::size_t maximum = account.getBudget().getMaximum();
    CHECK(maximum > 0 && maximum <= limit / 2);
    {
        MemoryAccount::Share first(account);
        MemoryAccount::Share second(account);
        first.set(maximum);
        first.set(maximum / 2);
        second.set(maximum / 8);
        CHECK(!account.mustCloseSessions() && account.mayStart(maximum / 8));
        second.set(maximum / 2 - 100);
        CHECK(account.mustCloseSessions() && account.mayStart(100) && !account.mayStart(101));
    }
    CHECK_EQUAL(0U, account.getTotal());
    CHECK(account.mayStart(maximum) && !account.mayStart(maximum + 1));
}
