#include "lending/LenderSelector.h"
#include "lentiljunction/lending/LendingPlan.h"

#include <algorithm>
#include <iterator>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr std::size_t numZones = 6;
constexpr std::size_t numUpstreams = 60;
constexpr std::size_t connectionLimit = 88;

std::vector<FleetMember> makeFleet(std::size_t number)
{
    std::vector<FleetMember> members;
    for (std::size_t index = 0; index < number; index++)
        members.push_back({ InstanceId("front-" + std::to_string(index)), ZoneId("z" + std::to_string(index % numZones)), { "10.0.0.1", 1 }, Endpoint { "10.0.0.1", 2 } });
    return members;
}

UpstreamId makeUpstreamId(std::size_t index)
{
    return UpstreamId("u-" + std::to_string(index));
}

} // namespace

TEST_GROUP(LendingPlan) {};

// A fleet of hundreds of instances in front of upstreams that accept fewer connections than there are instances.
// Guards against lenders that together keep more than half of an upstream's connections, and against lenders that
// cannot keep any.
TEST(LendingPlan, lendersOfLargeFleetShareHalfOfConnections)
{
    std::vector<FleetMember> fleet = makeFleet(295);
    LendingPlan plan(fleet, ZoneId("z0"));
    CHECK_EQUAL(0, computeConnectionShare(connectionLimit, fleet.size()));
    std::size_t share = computeConnectionShare(connectionLimit, plan.countLenders());
    CHECK(share >= 1);
    CHECK(share * plan.countLenders() <= connectionLimit / 2);
    for (std::size_t index = 0; index < numUpstreams; index++)
        CHECK_EQUAL(2, plan.chooseLenders(makeUpstreamId(index)).size());
}

// Guards against a few instances that lend most of the connections, and with them carry most of the statements.
TEST(LendingPlan, spreadsUpstreamsOverInstances)
{
    std::vector<FleetMember> fleet = makeFleet(295);
    LendingPlan plan(fleet, ZoneId("z0"));
    std::map<InstanceId, std::size_t> numLent;
    for (std::size_t index = 0; index < numUpstreams; index++) {
        for (const FleetMember& lender : plan.chooseLenders(makeUpstreamId(index)))
            numLent[lender.id]++;
    }
    // 120 loans over 50 instances.
    for (const std::pair<const InstanceId, std::size_t>& entry : numLent)
        CHECK(entry.second <= 8);
    CHECK(numLent.size() >= 35);
}

// An instance is lost or joins. Guards against a plan that moves the connections of other lenders as well.
TEST(LendingPlan, lostInstanceMovesOnlyItsOwnUpstreams)
{
    std::vector<FleetMember> fleet = makeFleet(295);
    LendingPlan before(fleet, ZoneId("z0"));
    InstanceId lost = before.chooseLenders(makeUpstreamId(0)).front().id;
    std::vector<FleetMember> remaining;
    std::copy_if(fleet.begin(), fleet.end(), std::back_inserter(remaining), [&lost](const FleetMember& member) { return member.id != lost; });
    LendingPlan after(remaining, ZoneId("z0"));
    for (std::size_t index = 0; index < numUpstreams; index++) {
        std::vector<FleetMember> previous = before.chooseLenders(makeUpstreamId(index));
        std::vector<FleetMember> next = after.chooseLenders(makeUpstreamId(index));
        for (const FleetMember& lender : previous) {
            bool isKept = std::any_of(next.begin(), next.end(), [&lender](const FleetMember& member) { return member.id == lender.id; });
            CHECK_EQUAL(lender.id != lost, isKept);
        }
    }
}

// Instances of an earlier version register no address for loans. Guards against borrowing from them.
TEST(LendingPlan, ignoresInstancesThatDoNotLend)
{
    std::vector<FleetMember> fleet = makeFleet(12);
    for (FleetMember& member : fleet)
        member.lending.reset();
    LendingPlan plan(fleet, ZoneId("z0"));
    CHECK_EQUAL(0, plan.countLenders());
    CHECK(plan.chooseLenders(makeUpstreamId(0)).empty());
}

TEST_GROUP(LenderSelector) {};

// A slow instance. Guards against waiting for it while the other lender responds at once, and against never
// returning to it.
TEST(LenderSelector, leavesSlowLenderAndReturns)
{
    ManualClock clock;
    LenderSelector selector(InstanceId("borrower"));
    std::vector<FleetMember> lenders = makeFleet(2);
    InstanceId preferred = selector.choose(lenders, {}, clock.now())->id;
    InstanceId other = lenders[lenders[0].id == preferred ? 1 : 0].id;
    selector.onResponse(other, std::chrono::milliseconds(1), clock.now());
    for (int count = 0; count < 10; count++)
        selector.onResponse(preferred, std::chrono::milliseconds(60), clock.now());
    CHECK(other == selector.choose(lenders, {}, clock.now())->id);
    clock.advance(std::chrono::seconds(3));
    CHECK(preferred == selector.choose(lenders, {}, clock.now())->id);
}

// Guards against asking a silent lender again at once, and against asking no lender when both were silent for long.
TEST(LenderSelector, avoidsSilentLenderForBackoff)
{
    ManualClock clock;
    LenderSelector selector(InstanceId("borrower"));
    std::vector<FleetMember> lenders = makeFleet(2);
    InstanceId preferred = selector.choose(lenders, {}, clock.now())->id;
    selector.onSilence(preferred, clock.now());
    CHECK(preferred != selector.choose(lenders, {}, clock.now())->id);
    selector.onSilence(selector.choose(lenders, {}, clock.now())->id, clock.now());
    CHECK_FALSE(selector.choose(lenders, {}, clock.now()).has_value());
    clock.advance(std::chrono::seconds(1));
    CHECK(selector.choose(lenders, {}, clock.now()).has_value());
}

// A lender uses its own connections. Guards against borrowing from the other lender.
TEST(LenderSelector, lenderUsesOwnConnections)
{
    ManualClock clock;
    std::vector<FleetMember> lenders = makeFleet(2);
    for (const FleetMember& lender : lenders)
        CHECK_FALSE(LenderSelector(lender.id).choose(lenders, {}, clock.now()).has_value());
}

// Connections by workspace. Guards against instances that ask different lenders for the same workspace, against one
// lender that gets all workspaces, and against a silent or slow lender that is still asked.
TEST(LenderSelector, choosesLenderByWorkspaceUnlessItIsSilentOrSlow)
{
    ManualClock clock;
    LenderSelector selector(InstanceId("borrower"));
    std::vector<FleetMember> lenders = makeFleet(2);
    std::map<InstanceId, int> numChosen;
    for (int index = 0; index < 82; index++) {
        WorkspaceId workspace("w" + std::to_string(index));
        InstanceId chosen = selector.chooseForWorkspace(lenders, makeUpstreamId(0), workspace, {}, clock.now())->id;
        numChosen[chosen]++;
        CHECK(chosen == LenderSelector(InstanceId("other")).chooseForWorkspace(lenders, makeUpstreamId(0), workspace, {}, clock.now())->id);
        // A lender that is not the first choice borrows too; the other one uses its own connections.
        for (const FleetMember& lender : lenders)
            CHECK_EQUAL(lender.id != chosen, LenderSelector(lender.id).chooseForWorkspace(lenders, makeUpstreamId(0), workspace, {}, clock.now()).has_value());
    }
    CHECK(numChosen[lenders[0].id] > 25);
    CHECK(numChosen[lenders[1].id] > 25);

    WorkspaceId workspace("w0");
    InstanceId first = selector.chooseForWorkspace(lenders, makeUpstreamId(0), workspace, {}, clock.now())->id;
    InstanceId second = lenders[lenders[0].id == first ? 1 : 0].id;
    selector.onResponse(second, std::chrono::milliseconds(1), clock.now());
    CHECK(first == selector.chooseForWorkspace(lenders, makeUpstreamId(0), workspace, {}, clock.now())->id);
    for (int count = 0; count < 10; count++)
        selector.onResponse(first, std::chrono::milliseconds(60), clock.now());
    CHECK(second == selector.chooseForWorkspace(lenders, makeUpstreamId(0), workspace, {}, clock.now())->id);
    clock.advance(std::chrono::seconds(3));
    CHECK(first == selector.chooseForWorkspace(lenders, makeUpstreamId(0), workspace, {}, clock.now())->id);
    selector.onSilence(first, clock.now());
    CHECK(second == selector.chooseForWorkspace(lenders, makeUpstreamId(0), workspace, {}, clock.now())->id);
}

// Guards against lenders that together keep more than three quarters of an upstream's connections.
TEST(LendingPlan, lendersShareThreeQuartersOfConnectionsByWorkspace)
{
    CHECK_EQUAL(8, computeLenderShare(69, 6));
    CHECK_EQUAL(1, computeLenderShare(5, 12));
    CHECK_EQUAL(51, computeLenderShare(69, 0));
}
