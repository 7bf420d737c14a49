#include "lentiljunction/leadership/PrimaryRecordCodec.h"
#include "lentiljunction/leadership/PrimaryView.h"
#include "lentiljunction/leadership/RecordRecovery.h"
#include "lentiljunction/leadership/RecoveryVote.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

const GroupId group("g");

ReplicationStatus makeStatus(bool isPrimary, std::uint64_t term)
{
    return { isPrimary, Term(term), { Term(term), Position(40) } };
}

PrimaryRecord makeRecord()
{
    PrimaryRecord record;
    record.coordinator = InstanceId("one");
    record.epoch = FencingToken(4);
    record.era = StoreEra(1);
    record.createdIn = StoreEra(1);
    record.groups[group] = { PrimaryPhase::Stable, UpstreamId("u2"), 3, { Term(2), Position(30) }, Term(2), StoreEra(1) };
    return record;
}

} // namespace

TEST_GROUP(RecordRecovery) {};

// Two coordinators must not use the same epoch, although the record of the second one of the lost era is unknown.
TEST(RecordRecovery, epochExceedsThoseOfLostRecords)
{
    PrimaryRecord recovered = makeRecoveredRecord(makeRecord(), InstanceId("two"), StoreEra(2));
    PrimaryRecord lost = makeRecord();
    for (int change = 0; change < 1000; change++)
        lost.epoch = lost.epoch.next();
    CHECK_TRUE(recovered.epoch > lost.epoch);
    CHECK_TRUE(makeRecoveredRecord(recovered, InstanceId("one"), StoreEra(3)).epoch > recovered.epoch);
    CHECK_TRUE(makeRecoveredRecord(recovered, InstanceId("one"), StoreEra(2)).epoch > recovered.epoch);
}

// A lease on the recovered record must not cover a primary that a lost failover may have replaced.
TEST(RecordRecovery, leaseCoversGroupOnlyAfterConfirmation)
{
    std::shared_ptr<PrimaryRecord> recovered = std::make_shared<PrimaryRecord>(makeRecoveredRecord(makeRecord(), InstanceId("two"), StoreEra(2)));
    BootTime now;
    PrimaryView view { { recovered, StoreVersion(7), StoreEra(2) }, now + leaseDuration };
    CHECK_FALSE(view.hasValidLease(group, now));
    CHECK_FALSE(view.hasValidLease(GroupId("without failover"), now));
    recovered->groups[group] = makeConfirmedEntry(*recovered, group, UpstreamId("u2"), makeStatus(true, 2));
    CHECK_TRUE(view.hasValidLease(group, now));
    CHECK_EQUAL(3, recovered->groups[group].generation);
}

// Responses and proofs of a lost tenure must not pass for those of a later one.
TEST(RecordRecovery, generationOfOtherPrimaryIsNotIssuedAgain)
{
    PrimaryRecord recovered = makeRecoveredRecord(makeRecord(), InstanceId("two"), StoreEra(2));
    PrimaryEntry entry = makeConfirmedEntry(recovered, group, UpstreamId("u3"), makeStatus(true, 5));
    CHECK_TRUE(entry.generation > 1000);
    CHECK_TRUE(computeNextGeneration(recovered, entry) > entry.generation);
    CHECK_EQUAL(4, computeNextGeneration(makeRecord(), makeRecord().groups.at(group)));
}

TEST(RecordRecovery, primaryIsConfirmedByAllUpstreamsOnly)
{
    CHECK(findConfirmedPrimary({ { UpstreamId("u1"), makeStatus(false, 2) }, { UpstreamId("u2"), makeStatus(true, 2) } }) == UpstreamId("u2"));
    CHECK_FALSE(findConfirmedPrimary({ { UpstreamId("u1"), std::nullopt }, { UpstreamId("u2"), makeStatus(true, 2) } }).has_value());
    CHECK_FALSE(findConfirmedPrimary({ { UpstreamId("u1"), makeStatus(true, 1) }, { UpstreamId("u2"), makeStatus(true, 2) } }).has_value());
    CHECK_FALSE(findConfirmedPrimary({ { UpstreamId("u1"), makeStatus(false, 3) }, { UpstreamId("u2"), makeStatus(true, 2) } }).has_value());
    CHECK_FALSE(findConfirmedPrimary({}).has_value());
}

// The lost failover had turned its former primary into a replica, and nobody knows of it.
TEST(RecordRecovery, groupWithoutAnyPrimaryGetsOne)
{
    ReplicationStatus behind { false, Term(2), { Term(2), Position(30) } };
    std::map<UpstreamId, std::optional<ReplicationStatus>> statuses { { UpstreamId("u1"), makeStatus(false, 2) }, { UpstreamId("u2"), behind }, { UpstreamId("u3"), makeStatus(false, 2) } };
    CHECK(chooseUpstreamToReplace(nullptr, statuses) == UpstreamId("u2"));
    statuses[UpstreamId("u3")] = std::nullopt;
    CHECK(chooseUpstreamToReplace(nullptr, statuses) == UpstreamId("u3"));
    statuses[UpstreamId("u1")] = makeStatus(true, 2);
    CHECK(chooseUpstreamToReplace(nullptr, statuses) == UpstreamId("u1"));
    PrimaryRecord record = makeRecord();
    CHECK(chooseUpstreamToReplace(record.find(group), statuses) == UpstreamId("u2"));
    CHECK_FALSE(chooseUpstreamToReplace(nullptr, { { UpstreamId("u1"), std::nullopt } }).has_value());
}

// A failover that begins while the upstreams are asked must not be taken back by what they said before it.
TEST(RecordRecovery, groupIsNotConfirmedOnceItsFailoverHasBegun)
{
    PrimaryRecord record = makeRecoveredRecord(makeRecord(), InstanceId("two"), StoreEra(2));
    CHECK_TRUE(mayConfirm(record, group, InstanceId("two")));
    CHECK_FALSE(mayConfirm(record, group, InstanceId("one")));
    record.groups[group].phase = PrimaryPhase::Changing;
    CHECK_FALSE(mayConfirm(record, group, InstanceId("two")));
}

TEST(RecordRecovery, failoverInProgressStaysInProgress)
{
    PrimaryRecord record = makeRecord();
    record.groups[group].phase = PrimaryPhase::Changing;
    record.retired.insert(InstanceId("three"));
    PrimaryRecord recovered = makeRecoveredRecord(record, InstanceId("two"), StoreEra(2));
    CHECK(recovered.groups.at(group).phase == PrimaryPhase::Changing);
    CHECK_TRUE(recovered.retired.empty());
}

// A record of an earlier release names no era, so it must count as restored and not as malformed.
TEST(RecordRecovery, recordWithoutEraIsDecoded)
{
    nlohmann::json document = encodePrimaryRecord(makeRecord());
    Failure failure;
    CHECK_EQUAL(1, decodePrimaryRecord(document, failure)->groups.at(group).era.value());
    document.erase("era");
    document.erase("created_in");
    document["groups"]["g"].erase("era");
    std::optional<PrimaryRecord> decoded = decodePrimaryRecord(document, failure);
    CHECK_TRUE(decoded.has_value());
    CHECK_EQUAL(0, decoded->era.value());
    CHECK_EQUAL(0, decoded->groups.at(group).era.value());
}

// Verification through the upstreams fails while one of them is cut off, so what is known must stay confirmed.
TEST(RecordRecovery, continuedRecordKeepsConfirmedGroups)
{
    PrimaryRecord known = makeRecord();
    known.groups[GroupId("unconfirmed")] = { PrimaryPhase::Stable, UpstreamId("u7"), 1, {}, Term(1), StoreEra() };
    PrimaryRecord continued = makeContinuedRecord(known, StoreEra(2));
    CHECK_TRUE(continued.isConfirmed(group));
    CHECK_TRUE(continued.isConfirmed(GroupId("without failover")));
    CHECK_FALSE(continued.isConfirmed(GroupId("unconfirmed")));
    CHECK_TRUE(continued.epoch > known.epoch);
    CHECK(continued.coordinator == known.coordinator);
    // A record that was recovered without proof stays one that may lack failovers.
    PrimaryRecord recovered = makeRecoveredRecord(known, InstanceId("two"), StoreEra(2));
    CHECK_FALSE(makeContinuedRecord(recovered, StoreEra(3)).isConfirmed(GroupId("without failover")));
}

TEST_GROUP(RecoveryVote)
{
    const Duration sinceConfirmed = std::chrono::seconds(2);
    const Duration longAgo = std::chrono::minutes(1);
};

TEST(RecoveryVote, majorityThatDidNotVoteSuffices)
{
    RecoveryVote vote(5, sinceConfirmed);
    vote.addResponse(longAgo, false, Duration(0));
    vote.addResponse(longAgo, false, Duration(0));
    CHECK_FALSE(vote.isWon());
    vote.addResponse(longAgo, false, Duration(0));
    CHECK_TRUE(vote.isWon());
}

// The write of a takeover may land seconds after the votes for it, when this instance has read its record already.
TEST(RecoveryVote, recentVoteOrNewerRecordPreventsContinuation)
{
    RecoveryVote recentVote(3, sinceConfirmed);
    recentVote.addResponse(longAgo, false, Duration(0));
    recentVote.addResponse(sinceConfirmed + takeoverWriteLifetime - Duration(1), false, Duration(0));
    recentVote.addResponse(longAgo, false, Duration(0));
    CHECK_FALSE(recentVote.isWon());
    RecoveryVote newerRecord(3, sinceConfirmed);
    newerRecord.addResponse(longAgo, false, Duration(0));
    newerRecord.addResponse(longAgo, true, Duration(0));
    newerRecord.addResponse(longAgo, false, Duration(0));
    CHECK_FALSE(newerRecord.isWon());
}

// A response that was long on its way shows an older time of the last vote.
TEST(RecoveryVote, delayOfResponseCountsAgainstIt)
{
    RecoveryVote vote(1, sinceConfirmed);
    vote.addResponse(sinceConfirmed + takeoverWriteLifetime, false, std::chrono::milliseconds(1));
    CHECK_FALSE(vote.isWon());
}
