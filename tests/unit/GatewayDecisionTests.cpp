#include "../../src/gateway/ProofCodec.h"
#include "../../src/traffic/FreshnessProofs.h"
#include "../../src/traffic/IdleTimeoutController.h"
#include "../../src/traffic/ReadPlanner.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/fleet/lj_fleet.h"
#include "lentiljunction/leadership/lj_leadership.h"
#include "lentiljunction/routes/lj_routes.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace lentiljunction;

namespace {

LogPoint point(std::uint64_t position)
{
    return { Term(1), Position(position) };
}

/// @returns the entry of a primary that was promoted in a term
PrimaryEntry makePrimary(std::uint64_t generation, std::uint64_t term, LogPoint baseline)
{
    return { PrimaryPhase::Stable, UpstreamId("u"), generation, baseline, Term(term) };
}

ReadCandidate candidate(const char* name, bool isLocal, bool isPrimary, std::chrono::milliseconds latency)
{
    return { UpstreamId(name), isLocal, isPrimary, true, latency, 0, std::nullopt, Duration(0) };
}

std::shared_ptr<const RouteTable> makeTable(std::uint64_t version)
{
    std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
    table->version = BundleVersion(version);
    return table;
}

} // namespace

TEST_GROUP(FreshnessProofs)
{
    ManualClock clock;
    FreshnessProofs proofs;
    GroupId group { "g" };
};

TEST(FreshnessProofs, requiresLowestHeadThatProvesFreshness)
{
    BootTime begin = clock.bootNow();
    for (std::uint64_t index = 0; index < 10; index++)
        proofs.add(group, 0, begin + std::chrono::milliseconds(100 * index), point(index * 10));
    CHECK(proofs.findRequired(group, 0, begin + std::chrono::milliseconds(250)) == point(30));
    CHECK_FALSE(proofs.findRequired(group, 0, begin + std::chrono::seconds(1)).has_value());
}

TEST(FreshnessProofs, newPrimaryInvalidatesOlderProofs)
{
    proofs.add(group, 0, clock.bootNow(), point(5));
    proofs.add(group, 1, clock.bootNow() + std::chrono::seconds(1), point(3));
    CHECK_FALSE(proofs.findRequired(group, 0, clock.bootNow()).has_value());
    CHECK(proofs.findRequired(group, 1, clock.bootNow()) == point(3));
    proofs.add(group, 0, clock.bootNow() + std::chrono::seconds(2), point(99));
    CHECK(proofs.findRequired(group, 1, clock.bootNow()) == point(3));
}

TEST(FreshnessProofs, proofsFromBeforePromotionAreLimitedToBaseline)
{
    BootTime begin = clock.bootNow();
    proofs.add(group, 0, begin, point(5));
    proofs.add(group, 0, begin + std::chrono::milliseconds(100), point(9));
    proofs.onNewPrimary(group, makePrimary(1, 2, point(7)));
    CHECK(proofs.findRequired(group, 1, begin) == point(5));
    CHECK(proofs.findRequired(group, 1, begin + std::chrono::milliseconds(50)) == point(7));
}

// A restored record hides a failover, so that proofs of the new primary are added in the generation before it.
TEST(FreshnessProofs, proofsInTermOfNewPrimaryKeepTheirHead)
{
    BootTime begin = clock.bootNow();
    LogPoint later { Term(2), Position(9) };
    proofs.add(group, 0, begin, point(9));
    proofs.add(group, 0, begin + std::chrono::milliseconds(100), later);
    proofs.onNewPrimary(group, makePrimary(1, 2, point(7)));
    CHECK(proofs.findRequired(group, 1, begin) == point(7));
    CHECK(proofs.findRequired(group, 1, begin + std::chrono::milliseconds(50)) == later);
}

TEST(FreshnessProofs, proofsOlderThanPreviousGenerationAreDropped)
{
    proofs.add(group, 0, clock.bootNow(), point(5));
    proofs.onNewPrimary(group, makePrimary(2, 3, point(7)));
    CHECK_FALSE(proofs.findRequired(group, 2, clock.bootNow()).has_value());
}

TEST(FreshnessProofs, listsNewestProofOfEachGroup)
{
    proofs.add(group, 2, clock.bootNow(), point(5));
    proofs.add(group, 2, clock.bootNow() + std::chrono::milliseconds(100), point(9));
    std::vector<FreshnessProofs::Newest> all = proofs.listNewest();
    CHECK_EQUAL(1, all.size());
    CHECK(all.front().head == point(9));
    CHECK_EQUAL(2, all.front().generation);
}

TEST(FreshnessProofs, relayedProofsNeverAppearNewer)
{
    BootTime requestedAt = clock.bootNow();
    proofs.add(group, 2, requestedAt, point(5));
    clock.advance(std::chrono::milliseconds(300));
    BootTime sentAt = clock.bootNow();
    clock.advance(std::chrono::milliseconds(40));
    nlohmann::json document = encodeProofs(proofs.listNewest(), clock.bootNow());
    std::optional<std::vector<FreshnessProofs::Newest>> decoded = decodeProofs(document, sentAt);
    CHECK_TRUE(decoded.has_value());
    CHECK(decoded->front().requestedAt <= requestedAt);
    CHECK(decoded->front().head == point(5));
    CHECK_FALSE(decodeProofs("text", sentAt).has_value());
    CHECK_FALSE(decodeProofs(nlohmann::json::array({ { "g", -1, 2, 3, 4 } }), sentAt).has_value());
}

// More instances share an upstream than it has connections, and there is no shared counter. Each instance keeps
// its share open on average, so statements find an open connection more often, and the total rarely exceeds the
// maximum.
TEST_GROUP(IdleTimeoutController)
{
    static constexpr int numInstances = 64;
    static constexpr int maximum = 46;
    static constexpr double heldShare = 0.5;

    struct Instance {
        IdleTimeoutController controller;
        bool isOpen = false;
        TimePoint idleSince;
    };

    struct Shares {
        double foundOpenShare = 0;
        double timeShareOverMaximum = 0;
    };

    /// Simulates the instances. A statement takes 20 ms, and each instance has one every 0.6 s on average.
    Shares simulate(bool isAdaptive)
    {
        ManualClock clock;
        Random random(7);
        std::vector<Instance> instances(numInstances);
        for (Instance& instance : instances)
            instance.controller.setTarget(heldShare * maximum / numInstances);
        constexpr std::chrono::milliseconds step { 10 };
        constexpr int steps = 6000;
        constexpr int warmUp = 1000;
        int numStatements = 0;
        int numFound = 0;
        int numOver = 0;
        for (int index = 0; index < steps; index++) {
            clock.advance(step);
            int numOpen = 0;
            for (Instance& instance : instances) {
                Duration idleTimeout = isAdaptive ? instance.controller.getIdleTimeout() : Duration(std::chrono::milliseconds(120));
                if (instance.isOpen && clock.now() - instance.idleSince >= idleTimeout) {
                    instance.isOpen = false;
                    instance.controller.onConnectionCount(0, clock.now());
                }
                if (random.below(60) == 0) {
                    numStatements += index >= warmUp ? 1 : 0;
                    numFound += index >= warmUp && instance.isOpen ? 1 : 0;
                    instance.isOpen = true;
                    instance.idleSince = clock.now() + std::chrono::milliseconds(20);
                    instance.controller.onConnectionCount(1, clock.now());
                }
                numOpen += instance.isOpen ? 1 : 0;
            }
            numOver += index >= warmUp && numOpen > maximum ? 1 : 0;
        }
        return { static_cast<double>(numFound) / numStatements, static_cast<double>(numOver) / (steps - warmUp) };
    }
};

TEST(IdleTimeoutController, adaptiveIdleTimeoutReusesMoreConnectionsWithinMaximum)
{
    Shares fixed = simulate(false);
    Shares adaptive = simulate(true);
    // Statements arrive at random, so the share that finds an open connection equals the average share of open ones.
    constexpr double expectedShare = heldShare * maximum / numInstances;
    CHECK(adaptive.foundOpenShare > 0.9 * expectedShare);
    CHECK(fixed.foundOpenShare < 0.9 * expectedShare);
    CHECK(adaptive.timeShareOverMaximum < 0.01);
}

TEST(IdleTimeoutController, shortensIdleTimeoutAboveTarget)
{
    ManualClock clock;
    IdleTimeoutController controller;
    controller.setTarget(0.5);
    controller.onConnectionCount(2, clock.now());
    Duration first = controller.getIdleTimeout();
    clock.advance(std::chrono::seconds(1));
    controller.onConnectionCount(2, clock.now());
    CHECK(controller.getIdleTimeout() > first);
    for (int second = 0; second < 20; second++) {
        clock.advance(std::chrono::seconds(1));
        controller.onConnectionCount(2, clock.now());
    }
    CHECK_EQUAL(first.count(), controller.getIdleTimeout().count());
    DOUBLES_EQUAL(2, controller.getAverage(), 0.1);
}

TEST_GROUP(ReadPlanner) {};

TEST(ReadPlanner, prefersNearReplica)
{
    std::vector<ReadCandidate> all { candidate("far", false, false, std::chrono::milliseconds(20)), candidate("near", true, false, std::chrono::milliseconds(15)), candidate("primary", true, true, std::chrono::milliseconds(15)) };
    CHECK(chooseReadTarget(all, std::nullopt) == UpstreamId("near"));
}

TEST(ReadPlanner, avoidsReplicaWithBacklog)
{
    std::vector<ReadCandidate> all { candidate("near", true, false, std::chrono::milliseconds(15)), candidate("far", false, false, std::chrono::milliseconds(20)) };
    all[0].load = 4;
    CHECK(chooseReadTarget(all, std::nullopt) == UpstreamId("far"));
}

// Only the primary can execute writes and fresh reads, and urgent transactions wait there for one of two slots.
// Reads that a replica can serve must not occupy these slots.
TEST(ReadPlanner, prefersFarReplicaToNearPrimaryUntilReplicasHaveBacklog)
{
    std::vector<ReadCandidate> all { candidate("primary", true, true, std::chrono::milliseconds(15)), candidate("far", false, false, std::chrono::milliseconds(24)) };
    CHECK(chooseReadTarget(all, std::nullopt) == UpstreamId("far"));
    all[1].load = 3;
    CHECK(chooseReadTarget(all, std::nullopt) == UpstreamId("primary"));
}

TEST(ReadPlanner, prefersUpstreamWithIdleConnection)
{
    std::vector<ReadCandidate> all { candidate("a", false, false, std::chrono::milliseconds(15)), candidate("b", false, false, std::chrono::milliseconds(20)) };
    all[0].hasIdleConnection = false;
    CHECK(chooseReadTarget(all, std::nullopt) == UpstreamId("b"));
}

TEST(ReadPlanner, avoidsReplicaThatWasRecentlyBehind)
{
    std::vector<ReadCandidate> all { candidate("near", true, false, std::chrono::milliseconds(15)), candidate("far", false, false, std::chrono::milliseconds(20)) };
    all[0].lastKnownHead = point(10);
    CHECK(chooseReadTarget(all, point(11)) == UpstreamId("far"));
    all[0].lastKnownHeadAge = std::chrono::seconds(1);
    CHECK(chooseReadTarget(all, point(11)) == UpstreamId("near"));
    CHECK_FALSE(chooseReadTarget({}, point(1)).has_value());
}

// `lentiljunction route` shows these parts; a penalty that is compared but not shown would make its answer wrong.
TEST(ReadPlanner, estimateNamesEveryPenalty)
{
    ReadCandidate far = candidate("far", false, false, std::chrono::milliseconds(10));
    far.load = 1;
    far.hasIdleConnection = false;
    far.lastKnownHead = point(10);
    ReadEstimate estimate = estimateRead(far, point(11));
    CHECK(estimate.work == std::chrono::milliseconds(20));
    CHECK(estimate.connect.count() > 0 && estimate.crossZone.count() > 0 && estimate.lag.count() > 0);
    CHECK_EQUAL(0, estimate.primary.count());
    CHECK(estimate.getTotal() == estimate.work + estimate.connect + estimate.crossZone + estimate.lag);
    far.isPrimary = true;
    CHECK(estimateRead(far, point(11)).primary.count() > 0);
    CHECK_EQUAL(0, estimateRead(far, point(11)).lag.count());
}

TEST_GROUP(ZoneReader) {};

TEST(ZoneReader, allInstancesOfAZoneChooseSameReader)
{
    std::vector<FleetMember> members;
    for (const char* name : { "a1", "a2", "a3", "b1" })
        members.push_back({ InstanceId(name), ZoneId(std::string(name).substr(0, 1)), {} });
    std::optional<FleetMember> chosen = chooseZoneReader(members, ZoneId("a"));
    CHECK_TRUE(chosen.has_value());
    CHECK(chosen->zone == ZoneId("a"));
    std::reverse(members.begin(), members.end());
    CHECK(chooseZoneReader(members, ZoneId("a"))->id == chosen->id);
    CHECK(chooseZoneReader(members, ZoneId("b"))->id == InstanceId("b1"));
    CHECK_FALSE(chooseZoneReader(members, ZoneId("c")).has_value());
}

// A zone reader with a thin link spent half of it on reads of a large configuration, and its proofs came late.
TEST(ZoneReader, instancesWithFasterLinksReadFirst)
{
    std::vector<FleetMember> members;
    for (int index = 1; index <= 6; index++) {
        members.push_back({ InstanceId("a" + std::to_string(index)), ZoneId("a"), {} });
        members.back().linkRate = BitRate(index <= 2 ? 200000000 : 10000000);
    }
    std::vector<FleetMember> readers = rankZoneReaders(members, ZoneId("a"));
    CHECK_EQUAL(6, readers.size());
    CHECK(readers[0].linkRate == BitRate(200000000) && readers[1].linkRate == BitRate(200000000));
    CHECK(chooseZoneReader(members, ZoneId("a"))->id == readers[0].id);
    std::reverse(members.begin(), members.end());
    CHECK(rankZoneReaders(members, ZoneId("a")) == readers);
    CHECK_TRUE(rankZoneReaders(members, ZoneId("b")).empty());
}

TEST_GROUP(ActiveRoutes) {};

TEST(ActiveRoutes, rejectsOlderAndEqualVersions)
{
    ActiveRoutes routes;
    CHECK_TRUE(routes.offer(makeTable(7)));
    CHECK_FALSE(routes.offer(makeTable(7)));
    CHECK_FALSE(routes.offer(makeTable(3)));
    CHECK_TRUE(routes.offer(makeTable(8)));
    CHECK_EQUAL(8, routes.getTable()->version.value());
}

TEST_GROUP(UpstreamRegistry)
{
    ManualClock clock;
    UpstreamRegistry registry;
    UpstreamList list;

    void setup() override { list.entries[UpstreamId("u")].id = UpstreamId("u"); }
};

TEST(UpstreamRegistry, keepsMissingEntryForLimitedTime)
{
    CHECK_EQUAL(1, registry.offer(list, clock.now()).size());
    CHECK_EQUAL(0, registry.offer(UpstreamList(), clock.now()).size());
    clock.advance(std::chrono::seconds(2));
    CHECK_EQUAL(0, registry.offer(list, clock.now()).size());
    registry.offer(UpstreamList(), clock.now());
    clock.advance(std::chrono::seconds(3));
    CHECK_EQUAL(1, registry.offer(UpstreamList(), clock.now()).size());
    CHECK(registry.getList()->find(UpstreamId("u")) == nullptr);
}

// A restored store shows an upstream as it was before it announced that it leaves, and must not get it new work.
TEST(UpstreamRegistry, leavingUpstreamIsUsedAgainOnlyAfterRestart)
{
    UpstreamEntry& entry = list.entries[UpstreamId("u")];
    entry.startedAt = clock.wallNow();
    entry.isLeaving = true;
    registry.offer(list, clock.now());
    entry.isLeaving = false;
    registry.offer(list, clock.now());
    CHECK_TRUE(registry.getList()->find(UpstreamId("u"))->isLeaving);
    registry.offer(UpstreamList(), clock.now());
    clock.advance(std::chrono::seconds(3));
    registry.offer(UpstreamList(), clock.now());
    registry.offer(list, clock.now());
    CHECK_TRUE(registry.getList()->find(UpstreamId("u"))->isLeaving);
    entry.startedAt = clock.wallNow();
    registry.offer(list, clock.now());
    CHECK_FALSE(registry.getList()->find(UpstreamId("u"))->isLeaving);
}

// A crashed upstream may return with commits that no other one has. One that had been leaving does not return.
TEST(UpstreamRegistry, remembersLostUpstreamsForSomeTime)
{
    UpstreamEntry& entry = list.entries[UpstreamId("u")];
    UpstreamEntry& leaving = list.entries[UpstreamId("l")];
    entry.group = leaving.group = GroupId("g");
    leaving.isLeaving = true;
    registry.offer(list, clock.now());
    registry.offer(UpstreamList(), clock.now());
    clock.advance(std::chrono::seconds(3));
    registry.offer(UpstreamList(), clock.now());
    CHECK(registry.listLost(GroupId("g"), clock.now()) == std::vector<UpstreamId> { UpstreamId("u") });
    CHECK(registry.listLost(GroupId("other"), clock.now()).empty());
    registry.offer(list, clock.now());
    CHECK(registry.listLost(GroupId("g"), clock.now()).empty());
    registry.offer(UpstreamList(), clock.now());
    clock.advance(std::chrono::seconds(3));
    registry.offer(UpstreamList(), clock.now());
    clock.advance(lostUpstreamRetention);
    CHECK(registry.listLost(GroupId("g"), clock.now()).empty());
}

// Guards against the replacement of a primary that works by an instance that starts while its entry is on its way back.
TEST(UpstreamRegistry, upstreamThatWasNeverListedIsGoneOnlyAfterRetention)
{
    const UpstreamId upstream("u");
    CHECK_FALSE(registry.isGone(upstream, clock.now()));
    registry.offer(UpstreamList(), clock.now());
    clock.advance(missingUpstreamRetention - std::chrono::milliseconds(1));
    CHECK_FALSE(registry.isGone(upstream, clock.now()));
    clock.advance(std::chrono::milliseconds(1));
    CHECK_TRUE(registry.isGone(upstream, clock.now()));
    list.entries[upstream].group = GroupId("g");
    registry.offer(list, clock.now());
    CHECK_FALSE(registry.isGone(upstream, clock.now()));
}

TEST_GROUP(OnePrimary) {};

// Guards against two primaries at one time. In random order an instance reads the record, is suspended,
// partitioned or notified of the failover, while the coordinator carries out the failover. Once the coordinator
// calls the promotion, the instance must not have the old primary in its view under a valid lease.
TEST(OnePrimary, leaseExpiresBeforePromotionInAnyOrderOfEvents)
{
    bool isSound = rc::check("one primary", [] {
        ManualClock clock;
        LeaseTracker tracker { InstanceId("one"), clock };
        tracker.onRegistered(StoreEra());
        Failover failover(GroupId("g"), UpstreamId("old"), { UpstreamId("new") }, false, Term(1), clock.now());
        failover.takeActions(clock.bootNow(), clock.now());
        std::shared_ptr<PrimaryRecord> stable = std::make_shared<PrimaryRecord>();
        std::shared_ptr<PrimaryRecord> changing = std::make_shared<PrimaryRecord>();
        changing->groups[GroupId("g")] = { PrimaryPhase::Changing, UpstreamId("old"), 0, {}, Term(1) };
        UpstreamList upstreams;
        upstreams.entries[UpstreamId("old")] = { UpstreamId("old"), GroupId("g"), {}, ZoneId("z"), 2, false, true };
        std::optional<std::pair<BootTime, bool>> pendingRead;
        bool isAnnounced = false;
        bool isPromoted = false;
        failover.onStatus(UpstreamId("new"), { false, Term(1), { Term(1), Position(4) } });

        std::vector<int> steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
        for (int step : steps) {
            // The instance sends a read of the record.
            if (step == 0 && !pendingRead)
                pendingRead = { clock.bootNow(), isAnnounced };
            // The response of the store arrives.
            if (step == 1 && pendingRead) {
                tracker.onStoreResponse({ pendingRead->second ? changing : stable, StoreVersion(pendingRead->second ? 2 : 1) }, pendingRead->first);
                pendingRead.reset();
            }
            // The response is lost.
            if (step == 2)
                pendingRead.reset();
            // The coordinator marks the group as changing.
            if (step == 3 && !isAnnounced) {
                isAnnounced = true;
                failover.onChangingWritten(clock.bootNow(), clock.now());
                failover.onInstancesListed({ InstanceId("one") });
            }
            // The instance receives the new record from the coordinator and confirms it.
            if (step == 4 && isAnnounced) {
                tracker.onPeerResponse({ changing, StoreVersion(2) }, Duration(0), clock.bootNow());
                failover.onInstanceConfirmed(InstanceId("one"));
            }
            if (step == 5)
                clock.advance(std::chrono::milliseconds(900));
            // The machine of the instance is suspended.
            if (step == 6)
                clock.suspend(std::chrono::milliseconds(900));
            if (step == 7)
                clock.advance(std::chrono::milliseconds(20));
            for (const Failover::Action& action : failover.takeActions(clock.bootNow(), clock.now()))
                isPromoted = isPromoted || action.kind == Failover::Action::Kind::RecordPromotion || action.kind == Failover::Action::Kind::Promote;
            bool mayUseOldPrimary = tracker.getView().hasValidLease(clock.bootNow()) && tracker.getView().findPrimaryTenure(GroupId("g"), upstreams).has_value();
            RC_ASSERT(!(isPromoted && mayUseOldPrimary));
        }
    });
    CHECK_TRUE(isSound);
}
