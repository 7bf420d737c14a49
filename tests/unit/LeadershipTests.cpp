#include "../support/FailoverActions.h"

#include "lentiljunction/leadership/lj_leadership.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace lentiljunction;

namespace {

/// A failover of a group with the old primary "old" and the candidates "a" and "b".
struct FailoverFixture {
    ManualClock clock;
    Failover failover { GroupId("g"), UpstreamId("old"), { UpstreamId("a"), UpstreamId("b") }, false, Term(2), clock.now() };

    std::vector<Failover::Action> takeActions() { return takeActionsAndRecordPromotion(this->failover, this->clock.bootNow(), this->clock.now()); }

    bool hasAction(Failover::Action::Kind kind, const std::string& upstream)
    {
        std::vector<Failover::Action> actions = this->takeActions();
        return std::any_of(actions.begin(), actions.end(), [&](const Failover::Action& action) {
            return action.kind == kind && action.upstream == UpstreamId(upstream);
        });
    }

    void announceFailover()
    {
        this->takeActions();
        this->failover.onChangingWritten(this->clock.bootNow(), this->clock.now());
        this->takeActions();
    }

    void confirmAll()
    {
        this->failover.onInstancesListed({ InstanceId("one") });
        this->failover.onInstanceConfirmed(InstanceId("one"));
    }

    static ReplicationStatus replica(std::uint64_t term, std::uint64_t position) { return { false, Term(term), { Term(term), Position(position) } }; }
    static ReplicationStatus primary(std::uint64_t term, std::uint64_t position) { return { true, Term(term), { Term(term), Position(position) } }; }
};

} // namespace

TEST_GROUP(PrimaryFailover) { FailoverFixture fixture; };

TEST(PrimaryFailover, promotesReplicaWithHighestLogHead)
{
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 40));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 41));
    CHECK(fixture.hasAction(Failover::Action::Kind::Promote, "b"));
}

TEST(PrimaryFailover, waitsForLeasesOfUnconfirmedInstances)
{
    fixture.announceFailover();
    fixture.failover.onInstancesListed({ InstanceId("one"), InstanceId("two") });
    fixture.failover.onInstanceConfirmed(InstanceId("one"));
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 40));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 40));
    fixture.clock.advance(leaseDuration);
    CHECK_FALSE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.clock.advance(leaseMargin);
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
}

TEST(PrimaryFailover, ignoresFormerPrimaryInOldTerm)
{
    fixture.announceFailover();
    fixture.confirmAll();
    // "a" was primary in term 1, was partitioned, and still reports to be the primary.
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::primary(1, 90));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 40));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "b"));
}

TEST(PrimaryFailover, acceptsPromotedFormerPrimaryOnlyInNewTerm)
{
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::primary(1, 90));
    fixture.clock.advance(std::chrono::seconds(3));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.failover.onPromotionResponse(true, fixture.clock.now());
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::primary(1, 92));
    CHECK_FALSE(fixture.hasAction(Failover::Action::Kind::WriteStable, "a"));
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::primary(3, 92));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::WriteStable, "a"));
}

TEST(PrimaryFailover, repeatsUnansweredPromotionForSameUpstream)
{
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 41));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 40));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 60));
    fixture.failover.onPromotionTimeout(fixture.clock.now());
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
}

TEST(PrimaryFailover, promotesNextCandidateAfterRefusal)
{
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 41));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 40));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.failover.onPromotionResponse(false, fixture.clock.now());
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "b"));
}

// Guards against a call that no successor knows of.
TEST(PrimaryFailover, callsNoUpstreamThatIsNotInTheRecord)
{
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 41));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 40));
    std::vector<Failover::Action> actions = fixture.failover.takeActions(fixture.clock.bootNow(), fixture.clock.now());
    CHECK_TRUE(actions.size() == 1 && actions.front().kind == Failover::Action::Kind::RecordPromotion && actions.front().upstream == UpstreamId("a"));
    fixture.clock.advance(std::chrono::seconds(10));
    CHECK_TRUE(fixture.failover.takeActions(fixture.clock.bootNow(), fixture.clock.now()).empty());
    fixture.failover.onPromotionRecorded(false, fixture.clock.now());
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
}

// Guards against a 409 that is taken for the outcome of the calls before it.
TEST(PrimaryFailover, refusalEndsOnlyItsOwnCall)
{
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 41));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 40));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.failover.onPromotionTimeout(fixture.clock.now());
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.failover.onPromotionSent(fixture.clock.now());
    fixture.failover.onPromotionResponse(false, fixture.clock.now());
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "b"));
    CHECK_TRUE(fixture.failover.listRefusedPromotions().empty());
}

TEST(PrimaryFailover, onlyCallThatIsRefusedHasNoEffect)
{
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 41));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 40));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.failover.onPromotionResponse(false, fixture.clock.now());
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "b"));
    CHECK(fixture.failover.listRefusedPromotions() == std::set<UpstreamId> { UpstreamId("a") });
}

// A call that never left this process needs no verification of later primaries.
TEST(PrimaryFailover, callThatWasNotSentHasNoEffect)
{
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 41));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 40));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.failover.onPromotionNotSent(fixture.clock.now());
    CHECK(fixture.failover.listRefusedPromotions() == std::set<UpstreamId> { UpstreamId("a") });
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.failover.onPromotionSent(fixture.clock.now());
    fixture.failover.onPromotionResponse(true, fixture.clock.now());
    CHECK(fixture.failover.listRefusedPromotions().empty());
}

// Guards against a coordinator that was restarted under the same id: a refusal of its call does not refuse the call of the
// former process, which has the same epoch and generation in the record and may still take effect.
TEST(PrimaryFailover, refusalDoesNotCloseCallOfFormerProcess)
{
    fixture.failover.inheritPromotions({ UpstreamId("a") });
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 41));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 40));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.failover.onPromotionResponse(false, fixture.clock.now());
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "b"));
    CHECK_TRUE(fixture.failover.listRefusedPromotions().empty());
}

// As above, when the restarted coordinator began with a record that did not list the call yet.
TEST(PrimaryFailover, refusalDoesNotCloseCallThatWasRecordedBefore)
{
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 41));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 40));
    fixture.failover.takeActions(fixture.clock.bootNow(), fixture.clock.now());
    fixture.failover.onPromotionRecorded(true, fixture.clock.now());
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
    fixture.failover.onPromotionSent(fixture.clock.now());
    fixture.failover.onPromotionResponse(false, fixture.clock.now());
    CHECK_TRUE(fixture.failover.listRefusedPromotions().empty());
}

// Guards against a successor that promotes another upstream than the one whose call is on its way.
TEST(PrimaryFailover, prefersUpstreamThatFormerCoordinatorCalled)
{
    fixture.failover.inheritPromotions({ UpstreamId("a") });
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("a"), FailoverFixture::replica(2, 40));
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 41));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "a"));
}

TEST(PrimaryFailover, promotesAnotherWhenUpstreamOfFormerCoordinatorDoesNotRespond)
{
    fixture.failover.inheritPromotions({ UpstreamId("a") });
    fixture.announceFailover();
    fixture.confirmAll();
    fixture.failover.onStatus(UpstreamId("b"), FailoverFixture::replica(2, 41));
    CHECK_FALSE(fixture.hasAction(Failover::Action::Kind::Promote, "b"));
    fixture.clock.advance(std::chrono::milliseconds(400));
    CHECK_TRUE(fixture.hasAction(Failover::Action::Kind::Promote, "b"));
}

TEST(PrimaryFailover, announcementExpiresWhenStoreIsSlow)
{
    CHECK_TRUE(fixture.failover.mayAnnounce(fixture.clock.now()));
    fixture.clock.advance(std::chrono::seconds(2));
    CHECK_FALSE(fixture.failover.mayAnnounce(fixture.clock.now()));
}

TEST_GROUP(LeaseTracker)
{
    ManualClock clock;
    LeaseTracker tracker { InstanceId("one"), clock };

    void setup() override { this->tracker.onRegistered(StoreEra()); }

    VersionedPrimaryRecord makeRecord(std::uint64_t revision) { return { std::make_shared<PrimaryRecord>(), StoreVersion(revision) }; }

    VersionedPrimaryRecord makeRecordOfEra(std::uint64_t revision, StoreEra writtenIn, StoreEra readIn)
    {
        std::shared_ptr<PrimaryRecord> record = std::make_shared<PrimaryRecord>();
        record->era = writtenIn;
        return { record, StoreVersion(revision), readIn };
    }
};

// Guards against a former coordinator that goes on with its failover: its demotion, in a term above the one that the upstream
// reports, would stop a primary that another coordinator has promoted, and its pauses would stop the replicas of that one.
TEST(LeaseTracker, onlyTheCoordinatorOfFailoverReplacesAndOnlyWithinItsLease)
{
    GroupId group("g");
    std::uint64_t revision = 0;
    auto learn = [&](const std::string& coordinator, PrimaryPhase phase) {
        std::shared_ptr<PrimaryRecord> record = std::make_shared<PrimaryRecord>();
        record->coordinator = InstanceId(coordinator);
        record->groups[group].phase = phase;
        tracker.onStoreResponse({ record, StoreVersion(++revision) }, clock.bootNow());
        return tracker.isReplacing(group, clock.bootNow());
    };
    CHECK_FALSE(tracker.isReplacing(group, clock.bootNow()));
    CHECK_FALSE(learn("two", PrimaryPhase::Changing));
    CHECK_FALSE(learn("one", PrimaryPhase::Stable));
    CHECK_TRUE(learn("one", PrimaryPhase::Changing));
    CHECK_FALSE(tracker.isReplacing(GroupId("other"), clock.bootNow()));
    clock.advance(leaseDuration);
    CHECK_FALSE(tracker.isReplacing(group, clock.bootNow()));
    CHECK_TRUE(learn("one", PrimaryPhase::Changing));
    CHECK_FALSE(learn("two", PrimaryPhase::Changing));
}

TEST(LeaseTracker, leaseBeginsWhenReadIsSent)
{
    BootTime sentAt = clock.bootNow();
    clock.advance(std::chrono::milliseconds(400));
    CHECK_TRUE(tracker.onStoreResponse(makeRecord(3), sentAt));
    CHECK_TRUE(tracker.getView().hasValidLease(sentAt + leaseDuration - std::chrono::milliseconds(1)));
    CHECK_FALSE(tracker.getView().hasValidLease(sentAt + leaseDuration));
}

TEST(LeaseTracker, leaseExpiresDuringSuspension)
{
    tracker.onStoreResponse(makeRecord(3), clock.bootNow());
    clock.suspend(leaseDuration);
    CHECK_EQUAL(0, tracker.getRemaining(clock.bootNow()).count());
}

TEST(LeaseTracker, peerResponseGrantsNoMoreThanRemainingLease)
{
    clock.advance(leaseDuration);
    BootTime sentAt = clock.bootNow();
    tracker.onPeerResponse(makeRecord(3), std::chrono::milliseconds(300), sentAt);
    CHECK_TRUE(tracker.getView().hasValidLease(sentAt + std::chrono::milliseconds(299)));
    CHECK_FALSE(tracker.getView().hasValidLease(sentAt + std::chrono::milliseconds(300)));
}

// A coordinator that listed the instances before this one was registered does not wait for it. Guards against a lease of
// another instance that began before, and hides the failover, in an instance that has just started.
TEST(LeaseTracker, relayedLeaseThatBeganBeforeRegistrationGrantsNone)
{
    clock.advance(std::chrono::milliseconds(200));
    tracker.onPeerResponse(makeRecord(3), leaseDuration - std::chrono::milliseconds(201), clock.bootNow());
    CHECK_FALSE(tracker.getView().hasValidLease(clock.bootNow()));
    tracker.onPeerResponse(makeRecord(3), leaseDuration - std::chrono::milliseconds(200), clock.bootNow());
    CHECK_TRUE(tracker.getView().hasValidLease(clock.bootNow()));
}

// Guards against a read that was sent before the registration and is answered after it.
TEST(LeaseTracker, readSentBeforeRegistrationGrantsNone)
{
    BootTime sentAt = clock.bootNow();
    clock.advance(std::chrono::milliseconds(20));
    tracker.onRegistered(StoreEra(1));
    tracker.onStoreResponse(makeRecordOfEra(3, StoreEra(1), StoreEra(1)), sentAt);
    CHECK_FALSE(tracker.getView().hasValidLease(clock.bootNow()));
    tracker.onStoreResponse(makeRecordOfEra(3, StoreEra(1), StoreEra(1)), clock.bootNow());
    CHECK_TRUE(tracker.getView().hasValidLease(clock.bootNow()));
}

TEST(LeaseTracker, olderRecordDoesNotReplaceNewerOne)
{
    tracker.onStoreResponse(makeRecord(5), clock.bootNow());
    CHECK_FALSE(tracker.onStoreResponse(makeRecord(4), clock.bootNow()));
    CHECK_EQUAL(5, tracker.getView().latest.revision.value());
}

TEST(LeaseTracker, newerRecordKeepsLeaseOfEarlierRead)
{
    tracker.onStoreResponse(makeRecord(5), clock.bootNow());
    tracker.onPeerResponse(makeRecord(6), Duration(0), clock.bootNow());
    CHECK_TRUE(tracker.getView().hasValidLease(clock.bootNow()));
    CHECK_EQUAL(6, tracker.getView().latest.revision.value());
}

TEST(LeaseTracker, retiredInstanceGetsNoLease)
{
    std::shared_ptr<PrimaryRecord> record = std::make_shared<PrimaryRecord>();
    record->retired.insert(InstanceId("one"));
    tracker.onStoreResponse(makeRecord(3), clock.bootNow());
    tracker.onStoreResponse({ record, StoreVersion(4) }, clock.bootNow());
    CHECK_TRUE(tracker.isRetired());
    CHECK_FALSE(tracker.getView().hasValidLease(clock.bootNow()));
    tracker.onPeerResponse({ record, StoreVersion(4) }, leaseDuration, clock.bootNow());
    CHECK_FALSE(tracker.getView().hasValidLease(clock.bootNow()));
    tracker.onStoreResponse(makeRecord(5), clock.bootNow());
    CHECK_TRUE(tracker.getView().hasValidLease(clock.bootNow()));
}

// A restored record may lack the failover that replaced its primary, so it must not grant or extend a lease.
TEST(LeaseTracker, restoredRecordGrantsNoLease)
{
    tracker.onRegistered(StoreEra(1));
    tracker.onRegistered(StoreEra(2));
    tracker.onStoreResponse(makeRecordOfEra(5, StoreEra(1), StoreEra(2)), clock.bootNow());
    CHECK_FALSE(tracker.getView().hasValidLease(clock.bootNow()));
    tracker.onStoreResponse(makeRecordOfEra(9, StoreEra(1), StoreEra(1)), clock.bootNow());
    clock.advance(leaseDuration);
    tracker.onStoreResponse(makeRecordOfEra(5, StoreEra(1), StoreEra(2)), clock.bootNow());
    CHECK_FALSE(tracker.getView().hasValidLease(clock.bootNow()));
}

// Revisions are issued again after a restore, so a recovered record has a lower one than the record that was lost.
TEST(LeaseTracker, recoveredRecordReplacesLostOneOfHigherRevision)
{
    tracker.onRegistered(StoreEra(1));
    tracker.onRegistered(StoreEra(2));
    tracker.onStoreResponse(makeRecordOfEra(9, StoreEra(1), StoreEra(1)), clock.bootNow());
    CHECK_TRUE(tracker.onStoreResponse(makeRecordOfEra(6, StoreEra(2), StoreEra(2)), clock.bootNow()));
    CHECK_TRUE(tracker.getView().hasValidLease(clock.bootNow()));
    CHECK_FALSE(tracker.onPeerResponse(makeRecordOfEra(9, StoreEra(1), StoreEra(1)), leaseDuration, clock.bootNow()));
}

// The restored store lost the registration, so a failover would not wait for the instance.
TEST(LeaseTracker, instanceGetsNoLeaseInEraInWhichItIsNotRegistered)
{
    tracker.onRegistered(StoreEra(1));
    tracker.onStoreResponse(makeRecordOfEra(6, StoreEra(2), StoreEra(2)), clock.bootNow());
    CHECK_FALSE(tracker.getView().hasValidLease(clock.bootNow()));
    tracker.onRegistered(StoreEra(2));
    tracker.onStoreResponse(makeRecordOfEra(6, StoreEra(2), StoreEra(2)), clock.bootNow());
    CHECK_TRUE(tracker.getView().hasValidLease(clock.bootNow()));
}

TEST_GROUP(SuspicionTracker)
{
    ManualClock clock;
    SuspicionTracker tracker;
    UpstreamId primary { "p" };
};

TEST(SuspicionTracker, singleReportDoesNotReplacePrimary)
{
    tracker.report(primary, InstanceId("one"), clock.now());
    CHECK_FALSE(tracker.mustReplace(primary, 7, clock.now()));
    CHECK_TRUE(tracker.mustReplace(primary, 1, clock.now()));
}

TEST(SuspicionTracker, reportsOfOneThirdReplacePrimary)
{
    tracker.report(primary, InstanceId("one"), clock.now());
    tracker.report(primary, InstanceId("two"), clock.now());
    CHECK_FALSE(tracker.mustReplace(primary, 7, clock.now()));
    tracker.report(primary, InstanceId("three"), clock.now());
    CHECK_TRUE(tracker.mustReplace(primary, 7, clock.now()));
}

TEST(SuspicionTracker, expiredReportsDoNotCount)
{
    for (const char* reporter : { "one", "two", "three" })
        tracker.report(primary, InstanceId(reporter), clock.now());
    clock.advance(std::chrono::seconds(2));
    CHECK_FALSE(tracker.mustReplace(primary, 7, clock.now()));
}

TEST_GROUP(TakeoverVote) {};

TEST(TakeoverVote, partitionedMinorityDoesNotWin)
{
    TakeoverVote vote(7);
    // Three of seven votes with this instance: a third has lost the primary, but there is no majority.
    vote.addVote(true);
    vote.addVote(true);
    CHECK_FALSE(vote.isWon());
}

TEST(TakeoverVote, winsWithMajorityOfVotesAndOneThirdAgreeing)
{
    TakeoverVote vote(7);
    vote.addVote(true);
    vote.addVote(false);
    vote.addVote(false);
    CHECK_FALSE(vote.isWon());
    vote.addVote(true);
    CHECK_TRUE(vote.isWon());
}

TEST(TakeoverVote, singleInstanceWinsAlone)
{
    CHECK_TRUE(TakeoverVote(1).isWon());
}

TEST_GROUP(PrimaryVerification)
{
    /// @param others the statuses of all other upstreams of the group, each of which is required
    static bool isVerified(const std::optional<ReplicationStatus>& primary, const std::vector<std::optional<ReplicationStatus>>& others)
    {
        VerificationScope scope;
        std::map<UpstreamId, std::optional<ReplicationStatus>> statuses;
        for (const std::optional<ReplicationStatus>& other : others) {
            UpstreamId id("u" + std::to_string(statuses.size() + 2));
            scope.required.insert(id);
            statuses[id] = other;
        }
        return isPrimaryVerified(scope, primary, statuses);
    }

    ReplicationStatus primary = FailoverFixture::primary(3, 9);
    ReplicationStatus follower = FailoverFixture::replica(3, 8);
};

TEST(PrimaryVerification, verifiesPrimaryWhenAllOthersAreReplicasInItsTerm)
{
    CHECK_TRUE(isVerified(primary, { follower, follower }));
}

TEST(PrimaryVerification, failsWhenAnUpstreamDoesNotRespond)
{
    CHECK_FALSE(isVerified(primary, { follower, std::nullopt }));
    CHECK_FALSE(isVerified(std::nullopt, { follower, follower }));
    CHECK_FALSE(isVerified(primary, {}));
}

TEST(PrimaryVerification, failsOnSecondPrimaryOrHigherTerm)
{
    CHECK_FALSE(isVerified(primary, { FailoverFixture::primary(4, 8), follower }));
    CHECK_FALSE(isVerified(primary, { FailoverFixture::replica(5, 8), follower }));
    CHECK_FALSE(isVerified(follower, { follower, follower }));
}

TEST_GROUP(FailoverForecast)
{
    ManualClock clock;
    FailoverForecast forecast;
    GroupId group { "g" };
};

TEST(FailoverForecast, expectsAverageOfPastGaps)
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

TEST(FailoverForecast, outageDoesNotChangeAverage)
{
    forecast.onPrimaryLost(group, clock.now());
    clock.advance(std::chrono::seconds(20));
    forecast.onPrimaryUsable(group, clock.now());
    forecast.onPrimaryLost(group, clock.now());
    CHECK(*forecast.getExpectedReturn(group, clock.now()) - clock.now() == std::chrono::milliseconds(900));
}

// A gap that is longer than a failover is an outage. The longer it has lasted, the longer it is expected to
// last, so that statements fail fast instead of waiting in the queue.
TEST(FailoverForecast, overdueGapIsExpectedToLastAsLongAgain)
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
    CoordinatorHandover handover { InstanceId("self") };

    /// @param generation the number of failovers so far
    void readRecord(const std::string& coordinator, std::uint64_t revision, std::uint64_t generation)
    {
        PrimaryRecord record;
        record.coordinator = InstanceId(coordinator);
        record.groups[GroupId("g")].generation = generation;
        handover.onRecord(record, StoreVersion(revision), clock.bootNow());
    }
};

TEST(CoordinatorHandover, newCoordinatorWaitsForHandoverDelay)
{
    readRecord("other", 4, 1);
    clock.advance(std::chrono::seconds(1));
    readRecord("self", 5, 1);
    CHECK_FALSE(handover.mayAct(clock.bootNow()));
    clock.advance(coordinatorHandoverDelay);
    CHECK_TRUE(handover.mayAct(clock.bootNow()));
}

TEST(CoordinatorHandover, unchangedCoordinatorMayAct)
{
    readRecord("self", 4, 1);
    readRecord("self", 5, 1);
    CHECK_TRUE(handover.mayAct(clock.bootNow()));
}

// Guards against a takeover that is delayed by each log holder that the coordinator records, or by a first primary.
TEST(CoordinatorHandover, writesWithoutFailoverAreNoAction)
{
    readRecord("other", 4, 0);
    CHECK_TRUE(handover.mayAct(clock.bootNow()));
    readRecord("other", 5, 1);
    clock.advance(coordinatorHandoverDelay);
    readRecord("other", 6, 1);
    CHECK_TRUE(handover.mayAct(clock.bootNow()));
    readRecord("other", 7, 2);
    CHECK_FALSE(handover.mayAct(clock.bootNow()));
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

TEST(PrimaryView, withoutFailoverOnlySingleClaimIsPrimary)
{
    PrimaryView view { { std::make_shared<PrimaryRecord>(), StoreVersion(1) }, BootTime() };
    add("a", true);
    add("b", false);
    CHECK(view.findPrimaryTenure(GroupId("g"), upstreams) == PrimaryTenure({ UpstreamId("a"), 0 }));
    add("c", true);
    CHECK_FALSE(view.findPrimaryTenure(GroupId("g"), upstreams).has_value());
}

TEST(PrimaryView, afterFailoverClaimsAreIgnored)
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

TEST(PrimaryView, decodesEncodedRecord)
{
    PrimaryRecord record { InstanceId("one"), FencingToken(4), {}, { InstanceId("two") }, "n" };
    record.groups[GroupId("g")] = { PrimaryPhase::Changing, UpstreamId("b"), 7, { Term(3), Position(12) }, Term(3) };
    record.groups[GroupId("g")].logHolders = { { UpstreamId("a"), std::nullopt }, { UpstreamId("c"), WallTime(std::chrono::milliseconds(1764820000000)) } };
    Failure failure;
    std::optional<PrimaryRecord> decoded = decodePrimaryRecord(encodePrimaryRecord(record), failure);
    CHECK(decoded.has_value());
    CHECK(encodePrimaryRecord(*decoded) == encodePrimaryRecord(record));
    CHECK(decoded->groups.at(GroupId("g")).logHolders == record.groups.at(GroupId("g")).logHolders);
    CHECK_FALSE(decodePrimaryRecord(nlohmann::json::object(), failure).has_value());
}
