#include "../../tools/lab/Soak.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <unistd.h>

using namespace lentiljunction;

namespace {

void checkSoak(const lab::SoakPlan& plan, const std::string& folder)
{
    nlohmann::json report = lab::runSoak(plan, ".", folder);
    CHECK_TEXT(report["violations"].empty(), report["violations"].dump(2).c_str());
    CHECK(report["acknowledged"] > 100);
    CHECK(report["script"].size() > 3);
    CHECK(!plan.hasWorkspaces || report["keys_removed"] > 0);
    std::filesystem::remove_all(folder);
}

} // namespace

TEST_GROUP(Soak) {};

// Runs real processes under injected faults. For longer runs or other seeds use lj-lab soak.
TEST(Soak, findsNoViolationInShortRunWithFixedSeed)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-soak-" + std::to_string(::getpid()))).string();
    lab::SoakPlan plan;
    plan.seed = 1;
    plan.seconds = 10;
    checkSoak(plan, folder);
}

// With this seed, calls without a response acted after the next failover, and 361 writes were acknowledged at a replaced primary.
TEST(Soak, acknowledgesNothingAtPrimaryThatLateCallReplaced)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-soak-late-call-" + std::to_string(::getpid()))).string();
    lab::SoakPlan plan;
    plan.seed = 4865;
    plan.seconds = 25;
    plan.numInstances = 5;
    checkSoak(plan, folder);
}

// With this seed, a promotion call is refused and another one accepted. The stand-in carried the refused one out 5 s later, which no
// platform does that answers truly. Guards against writes that are acknowledged at a primary that such calls replaced.
TEST(Soak, acknowledgesNothingAtReplacedPrimaryAfterRefusedCall)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-soak-refused-call-" + std::to_string(::getpid()))).string();
    lab::SoakPlan plan;
    plan.seed = 53138;
    plan.seconds = 15;
    plan.numInstances = 5;
    checkSoak(plan, folder);
}

// As above, with fewer connections than instances, so that statements run on connections of other instances.
TEST(Soak, findsNoViolationWhereInstancesBorrowConnections)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-soak-lending-" + std::to_string(::getpid()))).string();
    lab::SoakPlan plan;
    plan.seed = 2;
    plan.seconds = 10;
    plan.numZones = 1;
    plan.maximumConnections = 4;
    checkSoak(plan, folder);
}

// As above, with a store that returns again and again from a copy without the last failovers and registrations.
TEST(Soak, findsNoViolationWhileStoreIsRestored)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-soak-restore-" + std::to_string(::getpid()))).string();
    lab::SoakPlan plan;
    plan.seed = 3;
    plan.seconds = 15;
    plan.restoresStore = true;
    checkSoak(plan, folder);
}

// As above, with callers whose keys are replaced while instances, upstreams and the store fail.
TEST(Soak, findsNoViolationWhileKeysAreReplaced)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-soak-keys-" + std::to_string(::getpid()))).string();
    lab::SoakPlan plan;
    plan.seed = 4;
    plan.seconds = 20;
    plan.hasWorkspaces = true;
    checkSoak(plan, folder);
}
