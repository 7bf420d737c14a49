#include "../support/PoolBench.h"
#include "lending/LenderSelector.h"
#include "traffic/TrafficState.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

constexpr std::uint64_t numSeeds = 150;
constexpr std::size_t numWorkspaces = 82;

std::string makeName(std::size_t index)
{
    return "w" + std::to_string(index);
}

/// @returns workspaces whose sizes follow a power law with exponent 1.2
std::map<std::string, double> makePowerLaw()
{
    std::map<std::string, double> sizes;
    for (std::size_t index = 0; index < numWorkspaces; index++)
        sizes[makeName(index)] = std::pow(static_cast<double>(index + 1), -1.2);
    return sizes;
}

const std::string& draw(const std::map<std::string, double>& sizes, Random& random)
{
    double total = 0;
    for (const std::pair<const std::string, double>& entry : sizes)
        total += entry.second;
    double drawn = static_cast<double>(random.below(1000000)) / 1000000 * total;
    for (const std::pair<const std::string, double>& entry : sizes) {
        drawn -= entry.second;
        if (drawn < 0)
            return entry.first;
    }
    return sizes.begin()->first;
}

Duration findPercentile(std::vector<Duration> times, std::size_t percent)
{
    CHECK(!times.empty());
    std::sort(times.begin(), times.end());
    return times[(times.size() - 1) * percent / 100];
}

/// What became of the statements of one workspace.
struct Outcomes {
    std::vector<Duration> times;
    int numDenied = 0;

    std::function<void(std::optional<Duration>)> record()
    {
        return [this](std::optional<Duration> took) {
            if (took)
                this->times.push_back(*took);
            else
                this->numDenied++;
        };
    }
};

/// @returns the index of the lender that borrowers ask first for a workspace
std::size_t chooseLender(const std::string& workspace)
{
    std::vector<FleetMember> lenders;
    for (const char* name : { "i0", "i1" })
        lenders.push_back({ InstanceId(name), ZoneId("z"), { "127.0.0.1", 1 }, Endpoint { "127.0.0.1", 2 } });
    LenderSelector selector { InstanceId("borrower") };
    return selector.chooseForWorkspace(lenders, UpstreamId("u1"), WorkspaceId(workspace), {}, TimePoint())->id == InstanceId("i1") ? 1 : 0;
}

/// One instance of a fleet in three zones before one upstream.
class ShareBench : private UpstreamPool::Listener, private Borrower::Transport {
public:
    ShareBench(const std::string& self, std::size_t numInstances, bool hasWorkspaces)
        : state({ this->loop, this->clock, this->protocol, InstanceId(self), *this }, ZoneId("z0"))
        , borrower(this->clock, this->protocol, InstanceId(self), *this)
    {
        std::vector<FleetMember> members;
        for (std::size_t index = 0; index < numInstances; index++)
            members.push_back({ InstanceId("i" + std::to_string(index)), ZoneId("z" + std::to_string(index % 3)), { "127.0.0.1", 1 }, Endpoint { "127.0.0.1", 2 } });
        std::shared_ptr<UpstreamList> upstreams = std::make_shared<UpstreamList>();
        upstreams->entries[this->upstream] = UpstreamEntry { this->upstream, GroupId("g1"), {}, ZoneId("z0") };
        this->state.setUpstreams(upstreams);
        this->state.setBorrower(this->borrower);
        this->state.setMembers(members, numInstances);
        this->setRoutes(hasWorkspaces);
        this->state.findSource(this->upstream);
    }

    void setRoutes(bool hasWorkspaces)
    {
        std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
        table->groups[GroupId("g1")].maximumConnections = 70;
        if (hasWorkspaces)
            table->workspaces.emplace();
        this->state.setRoutes(table);
    }

    bool mustBorrow() const { return this->state.mustBorrow(this->upstream); }
    bool mayKeepIdle() { return this->state.findPool(this->upstream)->mayKeepIdle(); }

private:
    void onUpstreamUnreachable(const UpstreamEntry&, UpstreamConnection::LossCause) override { }
    void sendToLender(const FleetMember&, const LendingMessage&) override { }
    bool isLinkOpen(const InstanceId&) const override { return true; }

    const UpstreamId upstream { "u1" };
    ManualClock clock;
    EventLoop loop;
    LineProtocol protocol;
    TrafficState state;
    Borrower borrower;
};

} // namespace

TEST_GROUP(ConnectionShare) {};

// Guards against an instance that opens connections for every workspace because it may keep some of its own, and against
// lenders that keep none.
TEST(ConnectionShare, everyInstanceBorrowsWhereConnectionsBelongToWorkspaces)
{
    int numKeeping = 0;
    for (std::size_t index = 0; index < 12; index++) {
        ShareBench bench("i" + std::to_string(index), 12, false);
        CHECK_FALSE(bench.mustBorrow());
        CHECK(bench.mayKeepIdle());
        bench.setRoutes(true);
        CHECK(bench.mustBorrow());
        numKeeping += bench.mayKeepIdle() ? 1 : 0;
        bench.setRoutes(false);
        CHECK_FALSE(bench.mustBorrow());
        CHECK(bench.mayKeepIdle());
    }
    // Each bench stands in zone z0 of three, whose two lenders keep connections.
    CHECK_EQUAL(2, numKeeping);
}

// Guards against weights that are infinite for a workspace without a limit, or nothing for all others beside it.
TEST(ConnectionShare, weightsFollowRates)
{
    CHECK(makeWorkspaceWeights(std::nullopt) == nullptr);
    std::optional<WorkspaceTable> table;
    table.emplace();
    table->add({ WorkspaceId("large"), {}, 400, 80 });
    table->add({ WorkspaceId("small"), {}, 2, 4 });
    table->add({ WorkspaceId("unlimited"), {} });
    std::shared_ptr<const WorkspaceWeights> weights = makeWorkspaceWeights(table);
    CHECK_EQUAL(400, weights->at(WorkspaceId("large")));
    CHECK_EQUAL(2, weights->at(WorkspaceId("small")));
    CHECK_EQUAL(400, weights->at(WorkspaceId("unlimited")));
}

TEST_GROUP(UpstreamPool) {};

// Requests of several workspaces, transactions, lost connections and a full upstream in random order. Guards against a
// statement on a connection of another workspace, and against a request that is answered twice or never.
TEST(UpstreamPool, runsNoStatementOnConnectionOfOtherWorkspace)
{
    for (std::uint64_t seed = 1; seed <= numSeeds; seed++) {
        Random random(seed);
        PoolBench bench;
        bench.connectionLimit = 3 + random.below(6);
        bench.getPool().setShare(static_cast<int>(bench.connectionLimit + random.below(2)), 1);
        bench.setWorkspaces({ { "w0", 10 }, { "w1", 3 }, { "w2", 1 } }, 1 + random.below(6));
        int numAnswered = 0;
        for (int step = 0; step < 200; step++) {
            std::size_t drawn = random.below(6);
            std::string workspace = drawn == 5 ? std::string() : makeName(drawn);
            bench.run(workspace, std::chrono::milliseconds(5 + random.below(200)), std::chrono::milliseconds(random.below(3) == 0 ? 40 : 0), [&numAnswered](std::optional<Duration>) { numAnswered++; });
            if (random.below(40) == 0)
                bench.breakConnections();
            if (random.below(60) == 0)
                bench.getPool().setIdleShare(random.below(6));
            bench.advance(std::chrono::microseconds(random.below(15000)));
        }
        bench.advance(std::chrono::seconds(2));
        CHECK_EQUAL(200, numAnswered);
        CHECK_EQUAL(0, bench.numMisused);
        CHECK_EQUAL(0, bench.getPool().getNumRunning());
        CHECK_EQUAL(0, bench.getPool().getNumWaiting());
    }
}

// The stated mix of workspaces at the two lenders of a zone. Guards against a connection for nearly every statement,
// which occupies the upstream for longer than the statement.
TEST(UpstreamPool, lendersFindIdleConnectionForMostStatements)
{
    // Connections of a lender with the part that must find one idle.
    for (const std::pair<std::size_t, double>& expected : std::vector<std::pair<std::size_t, double>> { { 8, 0.6 }, { 11, 0.65 }, { 22, 0.83 } }) {
        std::array<PoolBench, 2> lenders;
        std::map<std::string, double> sizes = makePowerLaw();
        for (PoolBench& lender : lenders)
            lender.setWorkspaces(sizes, expected.first);
        Random random(expected.first);
        Outcomes outcomes;
        // 937 statements a second before 24 upstreams, of which each serves mainly its own zone.
        constexpr int numSeconds = 100;
        constexpr int numPerSecond = 39;
        for (int count = 0; count < numSeconds * numPerSecond; count++) {
            const std::string& workspace = draw(sizes, random);
            lenders.at(chooseLender(workspace)).run(workspace, std::chrono::milliseconds(500), std::chrono::milliseconds(count % 5 == 0 ? 30 : 0), outcomes.record());
            Duration pause = std::chrono::microseconds(random.below(2 * 1000000 / numPerSecond));
            for (PoolBench& lender : lenders)
                lender.advance(pause);
        }
        UpstreamPool::Counters total;
        for (PoolBench& lender : lenders) {
            total.numOpened += lender.getPool().getCounters().numOpened;
            total.numGrants += lender.getPool().getCounters().numGrants;
            total.numGrantsOfIdle += lender.getPool().getCounters().numGrantsOfIdle;
            CHECK_EQUAL(0, lender.numMisused);
        }
        double found = static_cast<double>(total.numGrantsOfIdle) / static_cast<double>(total.numGrants);
        std::printf("connections=%zu opened_per_second=%.2f found_idle=%.3f p50_us=%lld p99_us=%lld\n", expected.first, static_cast<double>(total.numOpened) / numSeconds, found, static_cast<long long>(findPercentile(outcomes.times, 50).count()), static_cast<long long>(findPercentile(outcomes.times, 99).count()));
        CHECK_EQUAL(0, outcomes.numDenied);
        CHECK(found >= expected.second);
    }
}

// One workspace sends seven times its usual load, more than the upstream serves. Guards against small ones that wait
// behind it, for a slot or for a connection.
TEST(UpstreamPool, hotWorkspaceWaitsAndSmallOnesDoNot)
{
    PoolBench bench;
    std::map<std::string, double> weights { { "hot", 450 } };
    for (std::size_t index = 0; index < 10; index++)
        weights[makeName(index)] = 5;
    bench.setWorkspaces(weights, 8);
    Random random(1);
    Outcomes hot;
    Outcomes small;
    for (int count = 0; count < 20000; count++) {
        bench.run("hot", std::chrono::milliseconds(300), Duration(0), hot.record());
        if (count % 40 == 0)
            bench.run(makeName(random.below(10)), std::chrono::milliseconds(300), Duration(0), small.record());
        bench.advance(std::chrono::milliseconds(1));
    }
    bench.advance(std::chrono::seconds(1));
    CHECK(hot.numDenied > 0);
    CHECK_EQUAL(0, small.numDenied);
    CHECK(findPercentile(small.times, 99) < std::chrono::milliseconds(50));
    CHECK(hot.times.size() > 5000);
}

// All connections are in use by others that keep asking. Guards against a request that waits until its deadline
// because each connection goes to the next request of the workspace that it belongs to.
TEST(UpstreamPool, requestWithoutConnectionIsServedWhileOthersKeepAllInUse)
{
    PoolBench bench;
    bench.getPool().setShare(4, 1);
    bench.setWorkspaces({ { "busy", 1 }, { "rare", 1 } }, 3);
    Outcomes busy;
    for (int count = 0; count < 200; count++) {
        bench.run("busy", std::chrono::milliseconds(400), Duration(0), busy.record());
        bench.run("busy", std::chrono::milliseconds(400), Duration(0), busy.record());
        bench.advance(std::chrono::milliseconds(2));
    }
    Outcomes rare;
    bench.run("rare", std::chrono::milliseconds(400), Duration(0), rare.record());
    for (int count = 0; count < 60; count++) {
        bench.run("busy", std::chrono::milliseconds(400), Duration(0), busy.record());
        bench.advance(std::chrono::milliseconds(2));
    }
    CHECK_EQUAL(1, rare.times.size());
    CHECK(rare.times.front() < std::chrono::milliseconds(60));
    CHECK(bench.numOpenAtMost <= 4);
}

// All connections are held by open transactions. Guards against a wait beyond the deadline, and against a refusal that
// does not say when to return.
TEST(UpstreamPool, requestIsDeniedAtItsDeadlineWhenAllConnectionsAreHeld)
{
    PoolBench bench;
    bench.getPool().setShare(4, 1);
    bench.setWorkspaces({ { "a", 1 }, { "b", 1 } }, 3);
    Outcomes held;
    for (int count = 0; count < 3; count++)
        bench.run("a", std::chrono::milliseconds(300), std::chrono::seconds(5), held.record());
    bench.advance(std::chrono::milliseconds(200));
    Outcomes denied;
    bench.run("b", std::chrono::milliseconds(100), Duration(0), denied.record());
    bench.advance(std::chrono::milliseconds(140));
    CHECK_EQUAL(1, denied.numDenied);
    CHECK(bench.getPool().getExpectedWait(Rank::Normal) > Duration(0));
    bench.advance(std::chrono::seconds(5));
    bench.run("b", std::chrono::milliseconds(100), Duration(0), denied.record());
    bench.advance(std::chrono::milliseconds(100));
    CHECK_EQUAL(1, denied.times.size());
}

// The proxy's own commands run no statement. Guards against opening a connection for them while one of any workspace is
// idle.
TEST(UpstreamPool, ownCommandUsesIdleConnectionOfAnyWorkspace)
{
    PoolBench bench;
    bench.setWorkspaces({ { "a", 1 } }, 3);
    Outcomes served;
    bench.run("a", std::chrono::milliseconds(300), Duration(0), served.record());
    bench.advance(std::chrono::milliseconds(100));
    StatementConnection* granted = nullptr;
    ConnectionSource::Request request = bench.makeRequest("", std::chrono::milliseconds(100));
    request.acceptsAnyWorkspace = true;
    bench.getPool().acquire(request, [&granted](StatementConnection* connection, ConnectionSource::Denial) { granted = connection; });
    CHECK(granted != nullptr);
    CHECK_EQUAL(1, bench.getPool().getNumConnections());
    bench.getPool().release(granted);
    // A statement without a workspace, as on a public route, needs a connection of its own.
    bench.run("", std::chrono::milliseconds(300), Duration(0), served.record());
    bench.advance(std::chrono::milliseconds(100));
    CHECK_EQUAL(2, bench.getPool().getNumConnections());
    CHECK_EQUAL(0, bench.numMisused);
}

// Deployments without workspaces. Guards against connections that are opened under another name than the instance's, or
// more often than before.
TEST(UpstreamPool, sharesAllConnectionsWithoutWorkspaces)
{
    PoolBench bench;
    Random random(1);
    Outcomes outcomes;
    for (int count = 0; count < 500; count++) {
        bench.run("", std::chrono::milliseconds(300), Duration(0), outcomes.record());
        bench.advance(std::chrono::microseconds(random.below(10000)));
    }
    bench.advance(std::chrono::seconds(1));
    CHECK_EQUAL(500, outcomes.times.size());
    CHECK_EQUAL(0, bench.numMisused);
    CHECK(bench.getPool().getCounters().numOpened <= 12);
    CHECK_EQUAL(0, bench.getPool().getExpectedWait(Rank::Normal).count());
}

// A connection is lost while its session waits for a verification, without a pending reply, and is given back. Guards against its
// next statement, which was answered as in doubt although it had not been sent.
TEST(UpstreamPool, connectionLostWithoutPendingReplyIsNotGrantedAgain)
{
    PoolBench bench;
    int numAnswered = 0;
    std::function<void(std::optional<Duration>)> count = [&numAnswered](std::optional<Duration> took) { numAnswered += took ? 1 : 0; };
    bench.run("", std::chrono::seconds(1), std::chrono::milliseconds(200), count);
    bench.advance(std::chrono::milliseconds(100));
    bench.breakConnections();
    bench.advance(std::chrono::milliseconds(200));
    LONGS_EQUAL(1, numAnswered);
    bench.run("", std::chrono::seconds(1), Duration(0), count);
    bench.advance(std::chrono::milliseconds(200));
    LONGS_EQUAL(2, numAnswered);
}
