#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace lentiljunction;
using lab::contains;
using lab::isServed;
using lab::LineCaller;

namespace {

constexpr int numInstances = 6;
constexpr std::chrono::seconds callerTimeout { 10 };
constexpr double ratePerSecond = 12;
constexpr double burst = 6;
/// Each instance is ready only after it has delegated its share.
constexpr std::chrono::seconds startTime { 6 };

/// Instances in three zones, two in each, with the limited workspaces "alpha" and "beta".
class QuotaSite {
public:
    QuotaSite()
        : fixture(numInstances, false, true)
    {
        CHECK_TRUE(this->fixture.waitUntilServed("bookings"));
        this->fixture.getSite().setWorkspaces({ { "alpha", { "alpha-key" } }, { "beta", { "beta-key" } } });
        this->fixture.getSite().setLimits(ratePerSecond, burst);
        this->fixture.getSite().configure(2, { "bookings", "checks" });
        std::this_thread::sleep_for(startTime);
        for (std::size_t index = 0; index < numInstances; index++)
            this->callers.push_back(std::make_unique<LineCaller>(this->fixture.getPort(index), "bookings", callerTimeout, "alpha-key"));
    }

    /// Sends as many operations as the instances answer, for a time.
    ///
    /// @returns the number of operations that were served
    std::size_t operate(Duration span, const std::string& statement)
    {
        std::size_t numServed = 0;
        std::size_t index = 0;
        for (TimePoint end = SystemClock().now() + span; SystemClock().now() < end; index++) {
            std::string answer = this->callers[index % this->callers.size()]->execute(statement);
            bool isRefused = contains(answer, "ERR BUSY") && contains(answer, "retry after");
            CHECK_TRUE_TEXT(isServed(answer) || isRefused, answer.c_str());
            numServed += isServed(answer) ? 1 : 0;
        }
        return numServed;
    }

    GatewayFixture fixture;
    std::vector<std::unique_ptr<LineCaller>> callers;
};

} // namespace

TEST_GROUP(GatewayQuota) {};

// Guards against instances that each allow the whole limit or only their own parts of it, against limits that one kind
// of operation escapes, and against a limited workspace that uses up another one's.
TEST(GatewayQuota, instancesEnforceLimitTogether)
{
    QuotaSite site;
    std::size_t numServed = site.operate(std::chrono::seconds(5), "READ a");
    CHECK_TRUE_TEXT(numServed >= 50, std::to_string(numServed).c_str());
    CHECK_TRUE_TEXT(numServed <= (ratePerSecond * 5 + burst) * 1.1 + 20, std::to_string(numServed).c_str());
    CHECK_TRUE(waitUntil([&] { return contains(site.callers[0]->execute("BEGIN"), "retry after") || (site.callers[0]->execute("ROLLBACK"), false); }));
    LineCaller other(site.fixture.getPort(0), "bookings", callerTimeout, "beta-key");
    CHECK_TRUE(isServed(other.execute("READ a")));
    STRCMP_CONTAINS("READY T", other.execute("BEGIN").c_str());
    CHECK_TRUE(isServed(other.execute("WRITE item v")));
    CHECK_TRUE(isServed(other.execute("COMMIT")));
    STRCMP_CONTAINS("lentiljunction_quota_refused{workspace=\"alpha\"}", site.fixture.readMetrics(0).c_str());
}

// Guards against an instance that serves nothing, or without a limit, after the others are gone.
TEST(GatewayQuota, remainingInstanceUsesItsShare)
{
    QuotaSite site;
    for (std::size_t index = 1; index < numInstances; index++) {
        site.fixture.kill(index);
        site.callers.pop_back();
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    site.operate(std::chrono::seconds(1), "READ a");
    std::size_t numServed = site.operate(std::chrono::seconds(6), "READ a");
    CHECK_TRUE_TEXT(numServed >= 8 && numServed <= 20, std::to_string(numServed).c_str());
}
