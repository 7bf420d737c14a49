#include "lentiljunction/leadership/lj_leadership.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

const GroupId group("g");

UpstreamList makeList(const std::vector<std::pair<std::string, bool>>& upstreams)
{
    UpstreamList list;
    for (const std::pair<std::string, bool>& upstream : upstreams) {
        UpstreamEntry entry;
        entry.id = UpstreamId(upstream.first);
        entry.group = group;
        entry.claimsPrimary = upstream.second;
        list.entries[entry.id] = entry;
    }
    return list;
}

ReplicationStatus makeStatus(bool isPrimary, std::uint64_t term)
{
    ReplicationStatus status;
    status.isPrimary = isPrimary;
    status.term = Term(term);
    return status;
}

} // namespace

TEST_GROUP(RoleMonitor)
{
    ManualClock clock;
    RoleMonitor monitor;
    PrimaryRecord record;

    void setup() override
    {
        PrimaryEntry& entry = this->record.groups[group];
        entry.primary = UpstreamId("u1");
        entry.generation = 3;
        entry.term = Term(5);
    }

    std::string ask(const UpstreamList& list)
    {
        std::string asked;
        for (const UpstreamId& upstream : this->monitor.listUpstreamsToAsk(this->record, list, this->clock.now()))
            asked += upstream.toString() + " ";
        return asked;
    }

    RoleMonitor::Action decide(const std::string& upstream, const ReplicationStatus& status) { return this->monitor.onStatus(this->record, group, 3, UpstreamId(upstream), status, this->clock.now()); }
};

// Guards against a former primary that goes on because its demotion was lost.
TEST(RoleMonitor, asksAnotherUpstreamThatClaimsToBePrimaryAsLongAsItDoes)
{
    UpstreamList list = makeList({ { "u1", true }, { "u2", true }, { "u3", false } });
    for (int round = 0; round < 5; round++) {
        STRCMP_EQUAL("u2 ", ask(list).c_str());
        clock.advance(std::chrono::milliseconds(999));
        STRCMP_EQUAL("", ask(list).c_str());
        clock.advance(std::chrono::milliseconds(1));
    }
    STRCMP_EQUAL("", ask(makeList({ { "u1", true }, { "u2", false }, { "u3", false } })).c_str());
}

// Guards against a promotion without an announcement that nobody notices: the promoted upstream may claim nothing yet.
TEST(RoleMonitor, asksAllOtherUpstreamsWhenNewerTermIsSeen)
{
    UpstreamList list = makeList({ { "u1", true }, { "u2", false }, { "u3", false } });
    monitor.onTermSeen(group, Term(5), clock.now());
    STRCMP_EQUAL("", ask(list).c_str());
    monitor.onTermSeen(group, Term(6), clock.now());
    STRCMP_EQUAL("u2 u3 ", ask(list).c_str());
    monitor.onTermSeen(group, Term(4), clock.now());
    clock.advance(std::chrono::seconds(1));
    STRCMP_EQUAL("u2 u3 ", ask(list).c_str());
    record.groups[group].term = Term(6);
    clock.advance(std::chrono::seconds(1));
    STRCMP_EQUAL("", ask(list).c_str());
}

TEST(RoleMonitor, forgetsTermThatIsNotSeenAgain)
{
    UpstreamList list = makeList({ { "u1", true }, { "u2", false } });
    monitor.onTermSeen(group, Term(6), clock.now());
    clock.advance(std::chrono::seconds(10));
    STRCMP_EQUAL("", ask(list).c_str());
    monitor.onTermSeen(group, Term(6), clock.now());
    STRCMP_EQUAL("u2 ", ask(list).c_str());
}

TEST(RoleMonitor, upstreamThatLeadsNewerTermReplacesRecordedPrimary)
{
    CHECK(decide("u2", makeStatus(true, 6)) == RoleMonitor::Action::ReplaceRecordedPrimary);
    CHECK(decide("u2", makeStatus(false, 6)) == RoleMonitor::Action::None);
}

TEST(RoleMonitor, formerPrimaryIsDemoted)
{
    CHECK(decide("u2", makeStatus(true, 4)) == RoleMonitor::Action::Demote);
    CHECK(decide("u2", makeStatus(false, 4)) == RoleMonitor::Action::None);
}

TEST(RoleMonitor, primaryInTheRecordedTermIsReportedAndNotDemoted)
{
    CHECK(decide("u2", makeStatus(true, 5)) == RoleMonitor::Action::ReportConflict);
}

// Guards against a demotion of the primary that the record names.
TEST(RoleMonitor, recordedPrimaryIsNeverDemoted)
{
    for (std::uint64_t term = 1; term < 9; term++)
        CHECK(decide("u1", makeStatus(true, term)) == RoleMonitor::Action::None);
}

// Guards against a status that was requested before a failover: the upstream may have been promoted since.
TEST(RoleMonitor, statusFromBeforeAnotherFailoverCausesNothing)
{
    record.groups[group].generation = 4;
    CHECK(decide("u2", makeStatus(true, 4)) == RoleMonitor::Action::None);
    CHECK(decide("u2", makeStatus(true, 6)) == RoleMonitor::Action::None);
}

TEST(RoleMonitor, groupThatIsChangingOrNotConfirmedIsLeftAlone)
{
    UpstreamList list = makeList({ { "u1", true }, { "u2", true } });
    record.groups[group].phase = PrimaryPhase::Changing;
    STRCMP_EQUAL("", ask(list).c_str());
    CHECK(decide("u2", makeStatus(true, 4)) == RoleMonitor::Action::None);
    CHECK(decide("u2", makeStatus(true, 6)) == RoleMonitor::Action::None);
    record.groups[group].phase = PrimaryPhase::Stable;
    record.era = StoreEra(1);
    STRCMP_EQUAL("", ask(list).c_str());
    CHECK(decide("u2", makeStatus(true, 4)) == RoleMonitor::Action::None);
    CHECK_FALSE(RoleMonitor::isNewer(record, group, Term(6)));
    record.groups[group].era = StoreEra(1);
    STRCMP_EQUAL("u2 ", ask(list).c_str());
}

TEST(RoleMonitor, groupWithoutEntryIsLeftAlone)
{
    record.groups.clear();
    STRCMP_EQUAL("", ask(makeList({ { "u1", true }, { "u2", true } })).c_str());
    CHECK(decide("u2", makeStatus(true, 6)) == RoleMonitor::Action::None);
}

// Guards against a group that stays without a primary: a demotion reached the recorded primary late, and nobody else leads.
TEST(RoleMonitor, recordedPrimaryThatStaysReplicaIsReplaced)
{
    UpstreamList list = makeList({ { "u1", false }, { "u2", false } });
    STRCMP_EQUAL("u1 ", ask(list).c_str());
    CHECK(decide("u1", makeStatus(false, 5)) == RoleMonitor::Action::None);
    clock.advance(std::chrono::seconds(1));
    STRCMP_EQUAL("u1 ", ask(list).c_str());
    CHECK(decide("u1", makeStatus(false, 5)) == RoleMonitor::Action::ReplaceDemotedPrimary);
}

// Guards against a needless failover: the list may show the role late, and one status may be older than the promotion.
TEST(RoleMonitor, recordedPrimaryThatLeadsIsNotReplaced)
{
    CHECK(decide("u1", makeStatus(false, 5)) == RoleMonitor::Action::None);
    clock.advance(std::chrono::seconds(1));
    CHECK(decide("u1", makeStatus(true, 5)) == RoleMonitor::Action::None);
    clock.advance(std::chrono::seconds(1));
    CHECK(decide("u1", makeStatus(false, 5)) == RoleMonitor::Action::None);
    clock.advance(std::chrono::seconds(10));
    CHECK(decide("u1", makeStatus(false, 5)) == RoleMonitor::Action::None);
}

TEST(RoleMonitor, replicaOfEarlierGenerationDoesNotCount)
{
    CHECK(decide("u1", makeStatus(false, 5)) == RoleMonitor::Action::None);
    clock.advance(std::chrono::seconds(1));
    record.groups[group].generation = 4;
    CHECK(monitor.onStatus(record, group, 4, UpstreamId("u1"), makeStatus(false, 5), clock.now()) == RoleMonitor::Action::None);
}
