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
