#include "../../tools/lab/GatewaySite.h"
#include "../../tools/lab/StartCampaign.h"
#include "../../tools/lab/StopCampaign.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
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

// A stop under load, with signals repeated during the drain, cut off statements, left no last line or ended with a signal.
TEST(StartCampaign, stopsUnderLoadAnswerEveryStatement)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-stops-" + std::to_string(::getpid()))).string();
    nlohmann::json report = lab::runStopCampaign({ 1, 2, 4 }, ".", folder);
    CHECK_TEXT(report["violations"].empty(), report["violations"].dump(2).c_str());
    LONGS_EQUAL(8, report["counts"]["stops"].get<int>());
    std::filesystem::remove_all(folder);
}

// A log left by an earlier run counted as the first line of the program, so SIGHUP was sent while the program was still loaded.
TEST(StartCampaign, logOfEarlierRunIsReplaced)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-old-log-" + std::to_string(::getpid()))).string();
    std::string path = folder + "/front-1.1.log";
    std::filesystem::create_directories(folder);
    std::ofstream(path) << "earlier run\n";
    lab::GatewaySite site(".", folder);
    Failure failure;
    CHECK_TEXT(site.start(1, failure), failure.reason.c_str());
    std::ifstream log(path);
    std::string firstLine;
    std::getline(log, firstLine);
    STRCMP_CONTAINS("instance_starting", firstLine.c_str());
    std::filesystem::remove_all(folder);
}
