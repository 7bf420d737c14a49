#include "lentiljunction/leadership/GroupRegistration.h"
#include "lentiljunction/leadership/LogHolderRemoval.h"
#include "lentiljunction/leadership/PrimaryRecordCodec.h"
#include "lentiljunction/leadership/PrimaryView.h"
#include "lentiljunction/routes/UpstreamRegistry.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

const GroupId group("g");

/// A group "g" with the primary "u1", as the coordinator sees it.
struct GroupWorld {
    GroupWorld()
    {
        this->record.coordinator = InstanceId("one");
        this->record.era = StoreEra(1);
        this->record.createdIn = StoreEra(1);
        this->groups[group].numSynchronousReplicas = 1;
    }

    UpstreamEntry& add(const std::string& id, bool claimsPrimary = false, int start = 1)
    {
        UpstreamEntry& entry = this->upstreams.entries[UpstreamId(id)];
        entry.id = UpstreamId(id);
        entry.group = group;
        entry.claimsPrimary = claimsPrimary;
        entry.startedAt = WallTime(std::chrono::seconds(start));
        return entry;
    }

    bool complete() { return GroupRegistration::complete(this->record, { this->groups, this->upstreams }); }

    std::string listHolders() const
    {
        std::string text;
        for (const LogHolder& holder : this->record.find(group)->logHolders)
            text += holder.upstream.toString() + "/" + std::to_string(toUnixMilliseconds(*holder.startedAt) / 1000) + " ";
        return text;
    }

    PrimaryRecord record;
    std::map<GroupId, GroupConfig> groups;
    UpstreamList upstreams;
    ManualClock clock;
};

} // namespace

TEST_GROUP(GroupRegistration)
{
    GroupWorld world;
    GroupRegistration registration;

    bool isDue() { return registration.isDue(world.record, { world.groups, world.upstreams }, world.clock.now()); }
};

// Review case 7: a coordinator that was restarted knows of no replica whose entry has expired. Guards against a failover that
// takes the one that is left for the only one.
TEST(GroupRegistration, replicaThatIsNoLongerListedStaysLogHolder)
{
    world.add("u1", true);
    world.add("u2");
    world.add("u3", false, 2);
    CHECK_TRUE(world.complete());
    STRCMP_EQUAL("u2/1 u3/2 ", world.listHolders().c_str());
    world.upstreams.entries.erase(UpstreamId("u2"));
    CHECK_FALSE(world.complete());
    STRCMP_EQUAL("u2/1 u3/2 ", world.listHolders().c_str());
}

// Review case 11: a replica that leaves receives commits until it ends, at times alone. Guards against a holder that ends with
// its announcement, and against one whose announcement a later process does not know.
TEST(GroupRegistration, leavingReplicaStaysLogHolderWithItsAddress)
{
    world.add("u1", true);
    world.add("u2");
    world.add("u3");
    world.complete();
    UpstreamEntry& leaving = world.add("u2");
    leaving.isLeaving = true;
    leaving.endpoint = { "10.0.0.2", 5432 };
    CHECK_TRUE(world.complete());
    CHECK_FALSE(world.complete());
    STRCMP_EQUAL("u2/1 u3/1 ", world.listHolders().c_str());
    world.upstreams.entries.erase(UpstreamId("u2"));
    CHECK_FALSE(world.complete());
    Failure failure;
    world.record = *decodePrimaryRecord(encodePrimaryRecord(world.record), failure);
    STRCMP_EQUAL("u2/1 u3/1 ", world.listHolders().c_str());
    CHECK(world.record.find(group)->logHolders[0].leavingFrom == std::optional<Endpoint>({ "10.0.0.2", 5432 }));
    CHECK_FALSE(world.record.find(group)->logHolders[1].leavingFrom.has_value());
}

// A configuration makes commits wait for replicas while one is leaving; and an earlier release wrote the record without it.
// Guards against a receiver that no failover knows.
TEST(GroupRegistration, leavingReplicaIsAddedWhileItIsListed)
{
    world.groups[group].numSynchronousReplicas = 0;
    world.add("u1", true);
    world.add("u2").isLeaving = true;
    world.complete();
    STRCMP_EQUAL("", world.listHolders().c_str());
    world.groups[group].numSynchronousReplicas = 1;
    CHECK_TRUE(world.complete());
    STRCMP_EQUAL("u2/1 ", world.listHolders().c_str());
    world.record.groups[group].logHolders.clear();
    CHECK_TRUE(world.complete());
    STRCMP_EQUAL("u2/1 ", world.listHolders().c_str());
}

// Replicas are replaced without end while none receives. Guards against a record that grows with each of them.
TEST(GroupRegistration, holdersThatLeftAreBounded)
{
    world.add("u1", true);
    world.add("u2");
    for (int number = 1; number <= 20; number++) {
        std::string id = "r" + std::to_string(number);
        world.add(id, false, number).isLeaving = true;
        world.complete();
        world.upstreams.entries.erase(UpstreamId(id));
        world.complete();
    }
    STRCMP_EQUAL("r13/13 r14/14 r15/15 r16/16 r17/17 r18/18 r19/19 r20/20 u2/1 ", world.listHolders().c_str());
}

// The start of an upstream becomes known later than the upstream. Guards against an entry without a start that never matches a
// restart, and stays.
TEST(GroupRegistration, startThatBecomesKnownReplacesUnknownOne)
{
    world.add("u1", true);
    world.add("u2").startedAt.reset();
    world.complete();
    world.add("u2", false, 4);
    CHECK_TRUE(world.complete());
    STRCMP_EQUAL("u2/4 ", world.listHolders().c_str());
}

// Commits of other groups wait for no replica. Guards against writes to the record for nothing.
TEST(GroupRegistration, asynchronousGroupHasNoLogHolders)
{
    world.groups[group].numSynchronousReplicas = 0;
    world.add("u1", true);
    world.add("u2");
    CHECK_TRUE(world.complete());
    STRCMP_EQUAL("", world.listHolders().c_str());
    CHECK_FALSE(world.complete());
}

// Guards against holders that change below a failover that has begun.
TEST(GroupRegistration, holdersOfChangingGroupAreKept)
{
    world.add("u1", true);
    world.complete();
    world.record.groups[group].phase = PrimaryPhase::Changing;
    world.add("u2");
    CHECK_FALSE(world.complete());
}

// Review case 9: the entry of a first primary expires while all instances are down. Guards against a group whose primary no
// instance knows any more.
TEST(GroupRegistration, firstPrimaryStaysKnownAfterItsEntryExpired)
{
    world.add("u1", true);
    world.add("u2");
    world.complete();
    world.upstreams.entries.erase(UpstreamId("u1"));
    PrimaryView view { { std::make_shared<PrimaryRecord>(world.record), StoreVersion(1) }, BootTime() };
    CHECK(view.findPrimaryTenure(group, world.upstreams) == PrimaryTenure({ UpstreamId("u1"), 0 }));
    CHECK_FALSE(world.record.find(group)->isTermKnown());
    CHECK_TRUE(world.record.isConfirmed(group));
}

// Guards against the record of a wrong primary: with two claims, and where failovers may be missing from the record.
TEST(GroupRegistration, doubtfulClaimIsNotRecorded)
{
    world.add("u1", true);
    world.add("u2", true);
    CHECK_FALSE(world.complete());
    world.add("u2", false);
    world.record.createdIn = StoreEra();
    CHECK_FALSE(world.complete());
    CHECK(world.record.find(group) == nullptr);
}

// Guards against a write for each group of a site that starts, and against a group without claim that holds up the others.
TEST(GroupRegistration, groupsThatStartTogetherAreOneWrite)
{
    world.groups[GroupId("h")];
    world.add("u1", true);
    CHECK_FALSE(isDue());
    world.add("w1", true).group = GroupId("h");
    CHECK_TRUE(isDue());
    world.upstreams.entries.erase(UpstreamId("w1"));
    world.clock.advance(std::chrono::seconds(2));
    CHECK_TRUE(isDue());
    CHECK_TRUE(world.complete());
    CHECK_FALSE(isDue());
}

// Records of earlier releases have no log holders. Guards against instances that cannot read the record during an update.
TEST(GroupRegistration, recordOfEarlierReleaseIsRead)
{
    world.add("u1", true);
    world.add("u2");
    world.complete();
    nlohmann::json document = encodePrimaryRecord(world.record);
    document["groups"]["g"].erase("log_holders");
    Failure failure;
    std::optional<PrimaryRecord> decoded = decodePrimaryRecord(document, failure);
    CHECK_TRUE(decoded.has_value());
    world.record = *decoded;
    CHECK_TRUE(world.complete());
    STRCMP_EQUAL("u2/1 ", world.listHolders().c_str());
}

TEST_GROUP(LogHolderRemoval)
{
    GroupWorld world;
    LogHolderRemoval removal;
    /// Whether the entries of upstreams that are not listed cannot be on their way back.
    bool areMissingGone = true;

    /// "u2" announces that it leaves, and ends.
    void leave()
    {
        world.add("u2").isLeaving = true;
        world.complete();
        world.upstreams.entries.erase(UpstreamId("u2"));
    }

    void setup() override
    {
        world.add("u1", true);
        world.add("u2");
        world.add("u3");
        world.complete();
    }

    static ReplicationStatus status(std::uint64_t position, bool isPrimary = false) { return { isPrimary, Term(1), { Term(1), Position(position) } }; }

    /// Asks once an interval for some time, with the same answers.
    ///
    /// @returns the upstreams that may be removed
    std::string survey(std::chrono::seconds span, const LogHolderRemoval::Statuses& statuses)
    {
        std::string removed;
        for (std::chrono::seconds passed(0); passed < span; passed += std::chrono::seconds(1)) {
            world.clock.advance(std::chrono::seconds(1));
            LogHolderRemoval::GoneCheck isUpstreamGone = [this](const UpstreamId&) { return areMissingGone; };
            for (const GroupId& asked : removal.listGroupsToAsk(world.record, world.upstreams, isUpstreamGone, world.clock.now())) {
                for (const LogHolder& holder : removal.onStatuses(world.record, asked, world.upstreams, statuses, 1))
                    removed = holder.upstream.toString() + "/" + std::to_string(toUnixMilliseconds(*holder.startedAt) / 1000);
            }
        }
        return removed;
    }
};

// A replica is gone for good. Guards against failovers that wait for it for ever.
TEST(LogHolderRemoval, replicaThatIsGoneIsRemovedOnceOthersHaveItsLog)
{
    world.upstreams.entries.erase(UpstreamId("u2"));
    STRCMP_EQUAL("", survey(lostUpstreamRetention, { { UpstreamId("u1"), status(7, true) }, { UpstreamId("u3"), status(7) } }).c_str());
    STRCMP_EQUAL("u2/1", survey(std::chrono::seconds(5), { { UpstreamId("u1"), status(7, true) }, { UpstreamId("u3"), status(7) } }).c_str());
    CHECK_TRUE(LogHolderRemoval::remove(world.record, group, 0, { { UpstreamId("u2"), WallTime(std::chrono::seconds(1)) } }));
    STRCMP_EQUAL("u3/1 ", world.listHolders().c_str());
}

// The replica that is left receives nothing, or does not respond. Guards against the removal of the only one with the last
// acknowledged commits.
TEST(LogHolderRemoval, holderOfOnlyCopyIsKept)
{
    world.upstreams.entries.erase(UpstreamId("u2"));
    STRCMP_EQUAL("", survey(std::chrono::seconds(60), { { UpstreamId("u1"), status(7, true) }, { UpstreamId("u3"), status(6) } }).c_str());
    STRCMP_EQUAL("", survey(std::chrono::seconds(60), { { UpstreamId("u1"), status(7, true) } }).c_str());
    world.upstreams.entries.erase(UpstreamId("u3"));
    STRCMP_EQUAL("", survey(std::chrono::seconds(60), { { UpstreamId("u1"), status(7, true) } }).c_str());
}

// Guards against a holder that is removed although it came back, and against one that is removed after a failover.
TEST(LogHolderRemoval, returnOrFailoverEndsRemoval)
{
    const LogHolderRemoval::Statuses statuses { { UpstreamId("u1"), status(7, true) }, { UpstreamId("u2"), status(7) }, { UpstreamId("u3"), status(7) } };
    world.upstreams.entries.erase(UpstreamId("u2"));
    survey(std::chrono::seconds(14), statuses);
    world.add("u2");
    STRCMP_EQUAL("", survey(std::chrono::seconds(30), statuses).c_str());
    world.record.groups[group].generation = 1;
    CHECK_FALSE(LogHolderRemoval::remove(world.record, group, 0, { { UpstreamId("u2"), WallTime(std::chrono::seconds(1)) } }));
}

// A replica is restarted without its log, as planned or not, and copies that of the primary. Guards against failovers that wait
// for its earlier log for ever, and against its removal before the copy is complete.
TEST(LogHolderRemoval, earlierStartIsRemovedOnceUpstreamHasCaughtUp)
{
    world.add("u2", false, 5);
    CHECK_TRUE(world.complete());
    STRCMP_EQUAL("u2/1 u2/5 u3/1 ", world.listHolders().c_str());
    STRCMP_EQUAL("", survey(std::chrono::seconds(10), { { UpstreamId("u1"), status(7, true) }, { UpstreamId("u2"), status(3) }, { UpstreamId("u3"), status(7) } }).c_str());
    STRCMP_EQUAL("u2/1", survey(std::chrono::seconds(5), { { UpstreamId("u1"), status(7, true) }, { UpstreamId("u2"), status(7) }, { UpstreamId("u3"), status(7) } }).c_str());
}

// A replica left as planned. Guards against a later failover that waits for it, and against its removal while it may still receive.
TEST(LogHolderRemoval, replicaThatLeftIsRemovedOnceItCannotReturn)
{
    const LogHolderRemoval::Statuses statuses { { UpstreamId("u1"), status(7, true) }, { UpstreamId("u3"), status(7) } };
    leave();
    areMissingGone = false;
    STRCMP_EQUAL("", survey(std::chrono::seconds(30), statuses).c_str());
    areMissingGone = true;
    STRCMP_EQUAL("u2/1", survey(std::chrono::seconds(2), statuses).c_str());
}

// The replica that is left has not received what the primary had after the end of the other one. Guards against the removal of
// the only copy.
TEST(LogHolderRemoval, replicaThatLeftIsKeptUntilAnotherHasItsLog)
{
    leave();
    STRCMP_EQUAL("", survey(std::chrono::seconds(60), { { UpstreamId("u1"), status(7, true) }, { UpstreamId("u3"), status(6) } }).c_str());
    STRCMP_EQUAL("u2/1", survey(std::chrono::seconds(4), { { UpstreamId("u1"), status(8, true) }, { UpstreamId("u3"), status(7) } }).c_str());
}

// One replica is deaf for long while others are replaced. Guards against holders that pile up, and against a copy in an
// upstream that a failover would not wait for.
TEST(LogHolderRemoval, oneOtherHolderSufficesForReplicaThatLeft)
{
    const LogHolderRemoval::Statuses statuses { { UpstreamId("u1"), status(7, true) }, { UpstreamId("u3"), status(2) }, { UpstreamId("u4"), status(7) } };
    leave();
    world.add("u4", false, 3);
    STRCMP_EQUAL("", survey(std::chrono::seconds(10), statuses).c_str());
    CHECK_TRUE(world.complete());
    STRCMP_EQUAL("u2/1", survey(std::chrono::seconds(4), statuses).c_str());
}
