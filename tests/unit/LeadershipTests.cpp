#include "lentiljunction/leadership/lj_leadership.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace lentiljunction;

namespace {

/// A failover with its clock, told what a test decides.
struct FailoverBench {
    ManualClock clock;
    Failover failover { GroupId("g"), UpstreamId("old"), { UpstreamId("a"), UpstreamId("b") }, false, Term(2), clock.now() };

    std::vector<Failover::Action> take() { return this->failover.takeActions(this->clock.bootNow(), this->clock.now()); }

    bool takes(Failover::Action::Kind kind, const std::string& upstream)
    {
        std::vector<Failover::Action> actions = this->take();
        return std::any_of(actions.begin(), actions.end(), [&](const Failover::Action& action) {
            return action.kind == kind && action.upstream == UpstreamId(upstream);
        });
    }

    void announce()
    {
        this->take();
        this->failover.onChangingWritten(this->clock.bootNow(), this->clock.now());
        this->take();
    }

    void stopAll()
    {
        this->failover.onInstancesKnown({ InstanceId("one") });
        this->failover.onInstanceStopped(InstanceId("one"));
    }

    static LeadStatus replica(std::uint64_t term, std::uint64_t position) { return { false, Term(term), { Term(term), Position(position) } }; }
    static LeadStatus primary(std::uint64_t term, std::uint64_t position) { return { true, Term(term), { Term(term), Position(position) } }; }
};

} // namespace

TEST_GROUP(LeadFailover) { FailoverBench bench; };

TEST(LeadFailover, theReplicaThatReceivedMostIsPromoted)
{
    bench.announce();
    bench.stopAll();
    bench.failover.onStatus(UpstreamId("a"), FailoverBench::replica(2, 40));
    bench.failover.onStatus(UpstreamId("b"), FailoverBench::replica(2, 41));
    CHECK(bench.takes(Failover::Action::Kind::Promote, "b"));
}

TEST(LeadFailover, nothingIsPromotedWhileAnInstanceMayHoldAPermit)
{
    bench.announce();
    bench.failover.onInstancesKnown({ InstanceId("one"), InstanceId("two") });
    bench.failover.onInstanceStopped(InstanceId("one"));
    bench.failover.onStatus(UpstreamId("a"), FailoverBench::replica(2, 40));
    bench.failover.onStatus(UpstreamId("b"), FailoverBench::replica(2, 40));
    bench.clock.advance(leaseDuration);
    CHECK_FALSE(bench.takes(Failover::Action::Kind::Promote, "a"));
    bench.clock.advance(leaseMargin);
    CHECK_TRUE(bench.takes(Failover::Action::Kind::Promote, "a"));
}

TEST(LeadFailover, aFormerPrimaryThatDoesNotKnowItIsNotTakenForTheNewOne)
{
    bench.announce();
    bench.stopAll();
    // "a" led term 1, was cut off, and still takes itself for the primary.
    bench.failover.onStatus(UpstreamId("a"), FailoverBench::primary(1, 90));
    bench.failover.onStatus(UpstreamId("b"), FailoverBench::replica(2, 40));
    CHECK_TRUE(bench.takes(Failover::Action::Kind::Promote, "b"));
}

TEST(LeadFailover, aPromotedFormerPrimaryIsInForceOnlyInItsNewTerm)
{
    bench.announce();
    bench.stopAll();
    bench.failover.onStatus(UpstreamId("a"), FailoverBench::primary(1, 90));
    bench.clock.advance(std::chrono::seconds(3));
    CHECK_TRUE(bench.takes(Failover::Action::Kind::Promote, "a"));
    bench.failover.onPromoteAnswer(true, bench.clock.now());
    bench.failover.onStatus(UpstreamId("a"), FailoverBench::primary(1, 92));
    CHECK_FALSE(bench.takes(Failover::Action::Kind::WriteStable, "a"));
    bench.failover.onStatus(UpstreamId("a"), FailoverBench::primary(3, 92));
    CHECK_TRUE(bench.takes(Failover::Action::Kind::WriteStable, "a"));
}

TEST(LeadFailover, anUnansweredPromotionIsRepeatedForTheSameUpstreamOnly)
{
    bench.announce();
    bench.stopAll();
    bench.failover.onStatus(UpstreamId("a"), FailoverBench::replica(2, 41));
    bench.failover.onStatus(UpstreamId("b"), FailoverBench::replica(2, 40));
    CHECK_TRUE(bench.takes(Failover::Action::Kind::Promote, "a"));
    bench.failover.onStatus(UpstreamId("b"), FailoverBench::replica(2, 60));
    bench.failover.onPromoteUnanswered(bench.clock.now());
    CHECK_TRUE(bench.takes(Failover::Action::Kind::Promote, "a"));
}

TEST(LeadFailover, aRefusedUpstreamIsPassedOver)
{
    bench.announce();
    bench.stopAll();
    bench.failover.onStatus(UpstreamId("a"), FailoverBench::replica(2, 41));
    bench.failover.onStatus(UpstreamId("b"), FailoverBench::replica(2, 40));
    CHECK_TRUE(bench.takes(Failover::Action::Kind::Promote, "a"));
    bench.failover.onPromoteAnswer(false, bench.clock.now());
    CHECK_TRUE(bench.takes(Failover::Action::Kind::Promote, "b"));
}

TEST(LeadFailover, anAnnouncementThatTheStoreDidNotTakeInTimeIsVoid)
{
    CHECK_TRUE(bench.failover.mayAnnounce(bench.clock.now()));
    bench.clock.advance(std::chrono::seconds(2));
    CHECK_FALSE(bench.failover.mayAnnounce(bench.clock.now()));
}

TEST_GROUP(LeaseTracker)
{
    ManualClock clock;
    LeaseTracker permits { InstanceId("one") };

    VersionedPrimaryRecord lead(std::uint64_t revision) { return { std::make_shared<PrimaryRecord>(), StoreVersion(revision) }; }
};

TEST(LeaseTracker, aPermitBeginsWhenTheReadWasSent)
{
    BootTime sentAt = clock.bootNow();
    clock.advance(std::chrono::milliseconds(400));
    CHECK_TRUE(permits.onStoreResponse(lead(3), sentAt));
    CHECK_TRUE(permits.getView().hasValidLease(sentAt + leaseDuration - std::chrono::milliseconds(1)));
    CHECK_FALSE(permits.getView().hasValidLease(sentAt + leaseDuration));
}

TEST(LeaseTracker, aSuspensionCounts)
{
    permits.onStoreResponse(lead(3), clock.bootNow());
    clock.suspend(leaseDuration);
    CHECK_EQUAL(0, permits.getRemaining(clock.bootNow()).count());
}

TEST(LeaseTracker, anotherInstanceGivesNoMoreThanItHas)
{
    BootTime sentAt = clock.bootNow();
    permits.onPeerResponse(lead(3), std::chrono::milliseconds(300), sentAt);
    CHECK_FALSE(permits.getView().hasValidLease(sentAt + std::chrono::milliseconds(300)));
}

TEST(LeaseTracker, anOlderRecordDoesNotReplaceANewerOne)
{
    permits.onStoreResponse(lead(5), clock.bootNow());
    CHECK_FALSE(permits.onStoreResponse(lead(4), clock.bootNow()));
    CHECK_EQUAL(5, permits.getView().lead.revision.value());
}

TEST(LeaseTracker, aNewerRecordKeepsThePermitOfAnEarlierRead)
{
    permits.onStoreResponse(lead(5), clock.bootNow());
    permits.onPeerResponse(lead(6), Duration(0), clock.bootNow());
    CHECK_TRUE(permits.getView().hasValidLease(clock.bootNow()));
    CHECK_EQUAL(6, permits.getView().lead.revision.value());
}

TEST(LeaseTracker, aRetiredInstanceGetsNoPermit)
{
    std::shared_ptr<PrimaryRecord> record = std::make_shared<PrimaryRecord>();
    record->retired.insert(InstanceId("one"));
    permits.onStoreResponse(lead(3), clock.bootNow());
    permits.onStoreResponse({ record, StoreVersion(4) }, clock.bootNow());
    CHECK_TRUE(permits.isRetired());
    CHECK_FALSE(permits.getView().hasValidLease(clock.bootNow()));
    permits.onPeerResponse({ record, StoreVersion(4) }, leaseDuration, clock.bootNow());
    CHECK_FALSE(permits.getView().hasValidLease(clock.bootNow()));
    permits.onStoreResponse(lead(5), clock.bootNow());
    CHECK_TRUE(permits.getView().hasValidLease(clock.bootNow()));
}

TEST_GROUP(SuspicionTracker)
{
    ManualClock clock;
    SuspicionTracker ledger;
    UpstreamId primary { "p" };
};

TEST(SuspicionTracker, oneReportIsNotEnough)
{
    ledger.report(primary, InstanceId("one"), clock.now());
    CHECK_FALSE(ledger.mustReplace(primary, 7, clock.now()));
    CHECK_TRUE(ledger.mustReplace(primary, 1, clock.now()));
}

TEST(SuspicionTracker, aThirdOfTheInstancesIsEnough)
{
    ledger.report(primary, InstanceId("one"), clock.now());
    ledger.report(primary, InstanceId("two"), clock.now());
    CHECK_FALSE(ledger.mustReplace(primary, 7, clock.now()));
    ledger.report(primary, InstanceId("three"), clock.now());
    CHECK_TRUE(ledger.mustReplace(primary, 7, clock.now()));
}

TEST(SuspicionTracker, oldReportsAreForgotten)
{
    for (const char* reporter : { "one", "two", "three" })
        ledger.report(primary, InstanceId(reporter), clock.now());
    clock.advance(std::chrono::seconds(2));
    CHECK_FALSE(ledger.mustReplace(primary, 7, clock.now()));
}

TEST_GROUP(TakeoverVote) {};

TEST(TakeoverVote, aFewThatAreCutOffTogetherTakeNothingOver)
{
    TakeoverVote vote(7);
    // With this instance three of seven: enough to have lost the primary, too few to speak for all.
    vote.onAnswer(true);
    vote.onAnswer(true);
    CHECK_FALSE(vote.isWon());
}

TEST(TakeoverVote, mostMustAnswerAndAThirdMustHaveLostThePrimary)
{
    TakeoverVote vote(7);
    vote.onAnswer(true);
    vote.onAnswer(false);
    vote.onAnswer(false);
    CHECK_FALSE(vote.isWon());
    vote.onAnswer(true);
    CHECK_TRUE(vote.isWon());
}

TEST(TakeoverVote, aSingleInstanceDecidesAlone)
{
    CHECK_TRUE(TakeoverVote(1).isWon());
}

TEST_GROUP(LeadEvidence)
{
    LeadStatus primary = FailoverBench::primary(3, 9);
    LeadStatus follower = FailoverBench::replica(3, 8);
};

TEST(LeadEvidence, aPrimaryWhoseReplicasFollowItsTermWasNotReplaced)
{
    CHECK_TRUE(isPrimaryVerified(primary, { follower, follower }));
}

TEST(LeadEvidence, anUpstreamThatDoesNotAnswerMayHaveBeenPromoted)
{
    CHECK_FALSE(isPrimaryVerified(primary, { follower, std::nullopt }));
    CHECK_FALSE(isPrimaryVerified(std::nullopt, { follower, follower }));
    CHECK_FALSE(isPrimaryVerified(primary, {}));
}

TEST(LeadEvidence, anotherPrimaryOrAHigherTermRefutesTheLead)
{
    CHECK_FALSE(isPrimaryVerified(primary, { FailoverBench::primary(4, 8), follower }));
    CHECK_FALSE(isPrimaryVerified(primary, { FailoverBench::replica(5, 8), follower }));
    CHECK_FALSE(isPrimaryVerified(follower, { follower, follower }));
}

TEST_GROUP(FailoverForecast)
{
    ManualClock clock;
    FailoverForecast forecast;
    GroupId group { "g" };
};

TEST(FailoverForecast, theGapsThatWereSeenAreExpectedAgain)
{
    CHECK_FALSE(forecast.getExpectedReturn(group, clock.now()).has_value());
    for (int index = 0; index < 20; index++) {
        forecast.onPrimaryLost(group, clock.now());
        clock.advance(std::chrono::milliseconds(400));
        forecast.onPrimaryUsable(group, clock.now());
    }
    forecast.onPrimaryLost(group, clock.now());
    Duration expected = std::chrono::duration_cast<Duration>(*forecast.getExpectedReturn(group, clock.now()) - clock.now());
    CHECK(expected > std::chrono::milliseconds(390) && expected < std::chrono::milliseconds(420));
}

TEST(FailoverForecast, anOutageTeachesNothing)
{
    forecast.onPrimaryLost(group, clock.now());
    clock.advance(std::chrono::seconds(20));
    forecast.onPrimaryUsable(group, clock.now());
    forecast.onPrimaryLost(group, clock.now());
    CHECK(*forecast.getExpectedReturn(group, clock.now()) - clock.now() == std::chrono::milliseconds(900));
}

// Pattern: fail fast. A gap that is longer than a change of primary takes is an outage, and the longer it has
// lasted the longer it is expected to last, so callers are refused at once instead of waiting in turn.
TEST(FailoverForecast, aGapThatIsOverdueIsExpectedToLastAsLongAgain)
{
    forecast.onPrimaryLost(group, clock.now());
    TimePoint expected = clock.now() + std::chrono::milliseconds(900);
    clock.advance(std::chrono::milliseconds(500));
    CHECK(*forecast.getExpectedReturn(group, clock.now()) == expected);
    clock.advance(std::chrono::milliseconds(500));
    CHECK(*forecast.getExpectedReturn(group, clock.now()) - clock.now() == std::chrono::milliseconds(100));
    clock.advance(std::chrono::seconds(3));
    CHECK(*forecast.getExpectedReturn(group, clock.now()) - clock.now() == std::chrono::milliseconds(3100));
}

TEST_GROUP(CoordinatorHandover)
{
    ManualClock clock;
    CoordinatorHandover turn { InstanceId("self") };

    void see(const std::string& holder, std::uint64_t revision)
    {
        PrimaryRecord record;
        record.holder = InstanceId(holder);
        record.groups[GroupId("g")];
        turn.onRecord(record, StoreVersion(revision), clock.bootNow());
    }
};

TEST(CoordinatorHandover, aNewHolderWaitsUntilTheFormerOneHasNotActedForASpan)
{
    see("other", 4);
    clock.advance(std::chrono::seconds(1));
    see("self", 5);
    CHECK_FALSE(turn.mayAct(clock.bootNow()));
    clock.advance(coordinatorHandoverDelay);
    CHECK_TRUE(turn.mayAct(clock.bootNow()));
}

TEST(CoordinatorHandover, aHolderThatIsFollowedByNobodyGoesOn)
{
    see("self", 4);
    see("self", 5);
    CHECK_TRUE(turn.mayAct(clock.bootNow()));
}

TEST_GROUP(PrimaryView)
{
    UpstreamList upstreams;

    void add(const std::string& id, bool claimsPrimary)
    {
        UpstreamEntry entry;
        entry.id = UpstreamId(id);
        entry.group = GroupId("g");
        entry.claimsPrimary = claimsPrimary;
        upstreams.entries[entry.id] = entry;
    }
};

TEST(PrimaryView, withoutAChangeTheOnlyClaimCounts)
{
    PrimaryView view { { std::make_shared<PrimaryRecord>(), StoreVersion(1) }, BootTime() };
    add("a", true);
    add("b", false);
    CHECK(view.findPrimaryTenure(GroupId("g"), upstreams) == PrimaryTenure({ UpstreamId("a"), 0 }));
    add("c", true);
    CHECK_FALSE(view.findPrimaryTenure(GroupId("g"), upstreams).has_value());
}

TEST(PrimaryView, afterAChangeClaimsDoNotCount)
{
    std::shared_ptr<PrimaryRecord> record = std::make_shared<PrimaryRecord>();
    record->groups[GroupId("g")] = { PrimaryPhase::Stable, UpstreamId("b"), 1, {}, Term(2) };
    PrimaryView view { { record, StoreVersion(1) }, BootTime() };
    add("a", true);
    CHECK(view.findPrimaryTenure(GroupId("g"), upstreams) == PrimaryTenure({ UpstreamId("b"), 1 }));
    record->groups[GroupId("g")].phase = PrimaryPhase::Changing;
    CHECK_FALSE(view.findPrimaryTenure(GroupId("g"), upstreams).has_value());
    CHECK_TRUE(view.isChanging(GroupId("g")));
}

TEST(PrimaryView, aRecordSurvivesItsEncoding)
{
    PrimaryRecord record { InstanceId("one"), FencingToken(4), {}, { InstanceId("two") }, "n" };
    record.groups[GroupId("g")] = { PrimaryPhase::Changing, UpstreamId("b"), 7, { Term(3), Position(12) }, Term(3) };
    Failure failure;
    std::optional<PrimaryRecord> decoded = decodePrimaryRecord(encodePrimaryRecord(record), failure);
    CHECK(decoded.has_value());
    CHECK(encodePrimaryRecord(*decoded) == encodePrimaryRecord(record));
    CHECK_FALSE(decodePrimaryRecord(nlohmann::json::object(), failure).has_value());
}
