#include "../../tools/lab/Soak.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <unistd.h>

using namespace lentiljunction;

TEST_GROUP(Soak) {};

// Real processes under faults from outside. Longer runs with other seeds are done by hand: lj-lab soak.
TEST(Soak, aShortSeededRunKeepsThePromises)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-soak-" + std::to_string(::getpid()))).string();
    lab::SoakPlan plan;
    plan.seed = 1;
    plan.seconds = 10;
    nlohmann::json report = lab::runSoak(plan, ".", folder);
    CHECK_TEXT(report["violations"].empty(), report["violations"].dump(2).c_str());
    CHECK(report["acknowledged"] > 100);
    CHECK(report["script"].size() > 3);
    std::filesystem::remove_all(folder);
}
