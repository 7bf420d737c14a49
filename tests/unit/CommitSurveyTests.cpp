#include "../support/FailoverActions.h"

#include "lentiljunction/core/Random.h"
#include "lentiljunction/leadership/lj_leadership.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace lentiljunction;

namespace {

constexpr std::chrono::seconds commitWait { 15 };

LogPoint point(std::uint64_t position)
{
    return { Term(1), Position(position) };
}

ReplicationStatus replica(std::uint64_t position, std::uint64_t term = 1)
{
    return { false, Term(term), point(position) };
}

/// A failover of the primary "old" in term 1, whose commits wait for one of the replicas "a" and "b".
class SynchronousGroup {
public:
    explicit SynchronousGroup(bool isPlanned, LogPoint baseline = LogPoint(), bool isRecordConfirmed = true)
        : failover(GroupId("g"), UpstreamId("old"), { UpstreamId("a"), UpstreamId("b") }, isPlanned, Term(1), this->clock.now())
    {
        CommitSurvey survey(UpstreamId("old"), isPlanned, 1, baseline);
        survey.setMembers(this->members);
        this->failover.requireAcknowledgedCommits(std::move(survey), isRecordConfirmed, this->clock.now() + commitWait);
        this->takeActions();
        this->failover.onChangingWritten(this->clock.bootNow(), this->clock.now());
        this->failover.onInstancesListed({ InstanceId("one") });
        this->takeActions();
    }

    /// No instance uses the old primary any more.
    void confirm() { this->failover.onInstanceConfirmed(InstanceId("one")); }

    std::vector<Failover::Action> takeActions() { return takeActionsAndRecordPromotion(this->failover, this->clock.bootNow(), this->clock.now()); }

    void pause(const char* upstream, std::uint64_t position, std::uint64_t term = 1) { this->failover.onReplicaPaused(UpstreamId(upstream), replica(position, term), this->failover.getPauseTerm()); }
    void demote(std::uint64_t position) { this->failover.onOldPrimaryDemoted(replica(position)); }

    /// Advances the clock, and collects the actions on the way.
    ///
    /// @returns the upstream whose promotion was requested, or an empty text
    std::string advance(std::chrono::milliseconds span)
    {
        std::string promoted;
        for (std::chrono::milliseconds passed(0); passed <= span; passed += std::chrono::milliseconds(20)) {
            for (const Failover::Action& action : this->takeActions()) {
                this->requested.insert(action.kind);
                if (action.kind == Failover::Action::Kind::Promote)
                    promoted = action.upstream.toString();
            }
            this->clock.advance(std::chrono::milliseconds(20));
        }
        return promoted;
    }

    std::vector<CommitSurvey::Member> members { { UpstreamId("a"), false, true }, { UpstreamId("b"), false, true } };
    std::set<Failover::Action::Kind> requested;
    ManualClock clock;
    Failover failover;
};

} // namespace

TEST_GROUP(SynchronousFailover) {};

// The replica that has received the last commits does not respond. Guards against the promotion of the other one, which
// loses acknowledged commits.
TEST(SynchronousFailover, waitsForSilentReplica)
{
    SynchronousGroup group(false);
    group.confirm();
    STRCMP_EQUAL("", group.advance(std::chrono::milliseconds(100)).c_str());
    group.pause("a", 192);
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(5)).c_str());
    group.pause("b", 366);
    STRCMP_EQUAL("b", group.advance(std::chrono::milliseconds(100)).c_str());
    LONGS_EQUAL(0, group.failover.getNumGivenUp());
}

// A replica was restarted without its log and reports an empty one. Guards against the promotion of the other one, which lacks
// what only the earlier log had (review case 6).
TEST(SynchronousFailover, earlierLogOfRestartedReplicaIsNotKnown)
{
    SynchronousGroup group(false);
    group.members.push_back({ UpstreamId("b"), false, false, true });
    group.failover.setMembers(group.members);
    group.confirm();
    group.pause("a", 192);
    group.pause("b", 0);
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(7)).c_str());
    group.demote(366);
    STRCMP_EQUAL("old", group.advance(std::chrono::seconds(1)).c_str());
}

// The only receiver left as planned, and its log was transferred to a successor (review case 11). Guards against a promotion before
// the successor reports it, and against a wait for the one that left.
TEST(SynchronousFailover, successorReportsLogOfUpstreamThatLeft)
{
    SynchronousGroup group(false);
    group.members.push_back({ UpstreamId("left"), false, false, false, std::nullopt, UpstreamId("b") });
    group.failover.setMembers(group.members);
    group.confirm();
    group.pause("a", 192);
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(5)).c_str());
    group.pause("b", 366);
    STRCMP_EQUAL("b", group.advance(std::chrono::milliseconds(100)).c_str());
    LONGS_EQUAL(0, group.failover.getNumGivenUp());
}

// The upstream at the address of one that left is empty, or has an older log. Guards against its log being taken for the one that
// was transferred.
TEST(SynchronousFailover, successorWithShorterLogDoesNotReportOneThatLeft)
{
    SynchronousGroup group(false);
    group.members.push_back({ UpstreamId("left"), false, false, false, std::nullopt, UpstreamId("b") });
    group.failover.setMembers(group.members);
    group.confirm();
    group.pause("a", 192);
    group.pause("b", 191);
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(7)).c_str());
    group.demote(366);
    STRCMP_EQUAL("old", group.advance(std::chrono::seconds(1)).c_str());
}

// A replica is restarted between its report and the promotion. Guards against the use of a log that is gone, while the list that
// is known does not show the restart yet.
TEST(SynchronousFailover, logsCountOnlyWithListThatWasReadAfterThem)
{
    SynchronousGroup group(false);
    group.confirm();
    group.members[1].startedAt = WallTime(std::chrono::seconds(1));
    group.failover.setMembers(group.members);
    group.pause("a", 192);
    group.pause("b", 366);
    std::vector<Failover::Action> actions = group.failover.takeActions(group.clock.bootNow(), group.clock.now());
    CHECK_TRUE(hasAction(actions, Failover::Action::Kind::RefreshUpstreams));
    CHECK_FALSE(hasAction(actions, Failover::Action::Kind::RecordPromotion));
    group.members[1].startedAt = WallTime(std::chrono::seconds(2));
    group.members.push_back({ UpstreamId("b"), false, false, true });
    group.failover.setMembers(group.members);
    group.failover.onUpstreamsRefreshed(true);
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(1)).c_str());
    group.pause("b", 0);
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(1)).c_str());
}

// A new primary is suspected while its commits wait for a replica that is deaf, and a former one is gone. Guards against the
// pause of that replica: the slots of the primary then never become free for its demotion, and 15 s later a replica that lacks
// acknowledged commits is promoted over it (issue 38).
TEST(SynchronousFailover, replicaIsNotPausedWhileNothingCanBeConcluded)
{
    SynchronousGroup group(false);
    group.members[0] = { UpstreamId("a"), false, false };
    group.failover.setMembers(group.members);
    group.confirm();
    group.advance(std::chrono::seconds(5));
    CHECK(group.requested.count(Failover::Action::Kind::PauseReplica) == 0);
    CHECK(group.requested.count(Failover::Action::Kind::DemoteOldPrimary) > 0);
    group.demote(366);
    STRCMP_EQUAL("old", group.advance(std::chrono::seconds(1)).c_str());
}

// Guards against a group that stays without a primary when a replica is lost for good.
TEST(SynchronousFailover, promotesLongestLogAfterWaitingTooLong)
{
    SynchronousGroup group(false);
    group.confirm();
    group.pause("a", 192);
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(14)).c_str());
    STRCMP_EQUAL("a", group.advance(std::chrono::seconds(2)).c_str());
    LONGS_EQUAL(1, group.failover.getNumGivenUp());
}

// A position that was reported while the replica still received is not its last one. Guards against a commit that is
// acknowledged after the replicas were asked.
TEST(SynchronousFailover, countsOnlyLogsThatReceiveNothingMore)
{
    SynchronousGroup group(false);
    group.failover.onStatus(UpstreamId("a"), replica(200));
    group.failover.onStatus(UpstreamId("b"), replica(199));
    group.confirm();
    STRCMP_EQUAL("", group.advance(std::chrono::milliseconds(100)).c_str());
    CHECK(group.requested.count(Failover::Action::Kind::PauseReplica) > 0);
    group.pause("b", 210);
    group.pause("a", 200);
    STRCMP_EQUAL("b", group.advance(std::chrono::milliseconds(100)).c_str());
}

// A pause in a term that the replica has reached does not stop it.
TEST(SynchronousFailover, ineffectivePauseIsRepeatedInHigherTerm)
{
    SynchronousGroup group(false);
    group.confirm();
    Term term = group.failover.getPauseTerm();
    group.failover.onReplicaPaused(UpstreamId("a"), replica(210, 5), term);
    group.pause("b", 200, 5);
    STRCMP_EQUAL("", group.advance(std::chrono::milliseconds(100)).c_str());
    CHECK(group.failover.getPauseTerm() == Term(6));
    group.pause("a", 210, 5);
    STRCMP_EQUAL("a", group.advance(std::chrono::milliseconds(100)).c_str());
}

// The old primary responds, so one replica that has its whole log suffices, and the other is not waited for.
TEST(SynchronousFailover, demotedPrimaryShowsAllCommits)
{
    SynchronousGroup group(true);
    group.confirm();
    group.demote(300);
    group.failover.onStatus(UpstreamId("a"), replica(299));
    STRCMP_EQUAL("", group.advance(std::chrono::milliseconds(100)).c_str());
    group.failover.onStatus(UpstreamId("a"), replica(300));
    STRCMP_EQUAL("a", group.advance(std::chrono::milliseconds(100)).c_str());
    CHECK(group.requested.count(Failover::Action::Kind::PauseReplica) == 0);
}

// All replicas that stay receive nothing. Guards against a planned failover that promotes one of them, and against one
// that never ends: the former primary is promoted again, or a leaving replica.
TEST(SynchronousFailover, promotesFormerPrimaryWhenNoReplicaCaughtUp)
{
    SynchronousGroup group(true);
    group.confirm();
    group.demote(300);
    group.failover.onStatus(UpstreamId("a"), replica(100));
    group.failover.onStatus(UpstreamId("b"), replica(120));
    STRCMP_EQUAL("", group.advance(std::chrono::milliseconds(200)).c_str());
    STRCMP_EQUAL("old", group.advance(std::chrono::milliseconds(400)).c_str());

    SynchronousGroup other(true);
    other.members[1].isLeaving = true;
    other.failover.setMembers(other.members);
    other.confirm();
    other.demote(300);
    other.failover.onStatus(UpstreamId("a"), replica(100));
    other.failover.onStatus(UpstreamId("b"), replica(300));
    STRCMP_EQUAL("b", other.advance(std::chrono::milliseconds(600)).c_str());
}

// A new primary crashes before a replica has received what it took over: no replica has the commits of its predecessor.
TEST(SynchronousFailover, replicasMustReachBaselineOfOldPrimary)
{
    SynchronousGroup group(false, point(366));
    group.confirm();
    group.pause("a", 192);
    group.pause("b", 192);
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(5)).c_str());
    // The primary returns with its log.
    group.demote(366);
    STRCMP_EQUAL("old", group.advance(std::chrono::milliseconds(600)).c_str());
}

// A replica that crashed shortly before is no longer listed, but may have the last commits.
TEST(SynchronousFailover, waitsForReplicaThatWasLostRecently)
{
    SynchronousGroup group(false);
    group.members[1].isListed = false;
    group.failover.setMembers(group.members);
    group.confirm();
    group.pause("a", 192);
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(5)).c_str());
    group.members.pop_back();
    group.failover.setMembers(group.members);
    STRCMP_EQUAL("a", group.advance(std::chrono::milliseconds(100)).c_str());
}

// A restored record may lack failovers, so the upstream that it names need not have been the last primary.
TEST(SynchronousFailover, primaryOfUnconfirmedRecordShowsNoCommits)
{
    SynchronousGroup group(false, LogPoint(), false);
    group.confirm();
    group.demote(100);
    group.pause("a", 100);
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(5)).c_str());
    group.pause("b", 366);
    STRCMP_EQUAL("b", group.advance(std::chrono::milliseconds(100)).c_str());
}

// A replica that the platform refused to promote counts again only once it has reported its log anew.
TEST(SynchronousFailover, refusedReplicaIsNotPromotedAtOnce)
{
    SynchronousGroup group(false);
    group.confirm();
    group.pause("a", 100);
    group.pause("b", 366);
    STRCMP_EQUAL("b", group.advance(std::chrono::milliseconds(40)).c_str());
    group.failover.onPromotionResponse(false, group.clock.now());
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(2)).c_str());
    group.advance(std::chrono::seconds(2));
    group.pause("b", 366);
    STRCMP_EQUAL("b", group.advance(std::chrono::milliseconds(40)).c_str());
}

// Random orders of commits, pauses and losses. Guards against any promotion that loses an acknowledged commit.
TEST(SynchronousFailover, promotedLogHasEveryAcknowledgedCommit)
{
    constexpr std::uint64_t numSeeds = 3000;
    for (std::uint64_t seed = 1; seed <= numSeeds; seed++) {
        Random random(seed);
        SynchronousGroup group(random.below(2) == 0);
        std::map<std::string, std::uint64_t> logs { { "old", 0 }, { "a", 0 }, { "b", 0 } };
        std::map<std::string, bool> isPaused;
        std::uint64_t acknowledged = 0;
        bool isPrimary = true;
        std::string promoted;
        for (int step = 0; step < 400 && promoted.empty(); step++) {
            std::string name = random.below(2) == 0 ? "a" : "b";
            switch (random.below(9)) {
            case 0:
                logs["old"] += isPrimary ? 1 : 0;
                break;
            case 1:
            case 2:
                // A commit is acknowledged once a replica has received it, also by an instance that does not know of the failover.
                if (isPrimary && !isPaused[name]) {
                    logs[name] = logs["old"];
                    acknowledged = logs["old"];
                }
                break;
            case 3:
                group.failover.onStatus(UpstreamId(name), replica(logs[name]));
                break;
            case 4:
                group.confirm();
                break;
            case 5:
                if (step > 100) {
                    isPaused[name] = true;
                    group.pause(name.c_str(), logs[name]);
                }
                break;
            case 6:
                if (step > 300) {
                    isPrimary = false;
                    group.demote(logs["old"]);
                }
                break;
            default:
                promoted = group.advance(std::chrono::milliseconds(20));
            }
        }
        if (!promoted.empty() && logs[promoted] < acknowledged)
            FAIL(("seed " + std::to_string(seed) + " promoted " + promoted).c_str());
    }
}
