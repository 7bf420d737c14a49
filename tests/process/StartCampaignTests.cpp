#include "../../tools/lab/StartCampaign.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <unistd.h>

using namespace lentiljunction;

TEST_GROUP(StartCampaign) {};

namespace {

void checkCampaign(bool signalsWhileLoading)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-starts-" + std::to_string(::getpid()))).string();
    lab::StartPlan plan;
    plan.numRounds = 4;
    plan.numInstances = 5;
    plan.signalsWhileLoading = signalsWhileLoading;
    nlohmann::json report = lab::runStartCampaign(plan, ".", folder);
    CHECK_TEXT(report["violations"].empty(), report["violations"].dump(2).c_str());
    LONGS_EQUAL(plan.numRounds * plan.numInstances, report["counts"]["starts"].get<int>());
    std::filesystem::remove_all(folder);
}

} // namespace

// An instance ended by itself when a port was still held at its start.
TEST(StartCampaign, noInstanceEndsByItselfAfterItsStart)
{
    checkCampaign(false);
}

// An instance ended by itself when SIGHUP came in its first milliseconds.
TEST(StartCampaign, noInstanceEndsByHangUpWhileItIsLoaded)
{
    checkCampaign(true);
}
