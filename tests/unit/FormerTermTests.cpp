#include "../support/FailoverActions.h"

#include "lentiljunction/leadership/lj_leadership.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr std::chrono::seconds waitForLogs { 15 };

/// A failover of the primary "old", which led term 2 from a baseline on. Its commits wait for no replica. "a" stays, "b" leaves.
struct AsynchronousGroup {
    explicit AsynchronousGroup(LogPoint baseline = { Term(1), Position(50) })
    {
        this->failover.compareLogs(baseline, { UpstreamId("b") }, this->clock.now() + waitForLogs);
        this->takeActions();
        this->failover.onChangingWritten(this->clock.bootNow(), this->clock.now());
        this->failover.onInstancesListed({ InstanceId("one") });
        this->failover.onInstanceConfirmed(InstanceId("one"));
    }

    std::vector<Failover::Action> takeActions() { return takeActionsAndRecordPromotion(this->failover, this->clock.bootNow(), this->clock.now()); }

    void report(const char* upstream, std::uint64_t term, LogPoint received) { this->failover.onStatus(UpstreamId(upstream), { false, Term(term), received }); }

    /// @returns the upstream whose promotion is requested within some time, or an empty text
    std::string advance(std::chrono::milliseconds span)
    {
        for (std::chrono::milliseconds passed(0); passed <= span; passed += std::chrono::milliseconds(20)) {
            for (const Failover::Action& action : this->takeActions()) {
                if (action.kind == Failover::Action::Kind::RequestStatus)
                    this->requested.insert(action.upstream);
                if (action.kind == Failover::Action::Kind::Promote)
                    return action.upstream.toString();
            }
            this->clock.advance(std::chrono::milliseconds(20));
        }
        return "";
    }

    ManualClock clock;
    Failover failover { GroupId("g"), UpstreamId("old"), { UpstreamId("a"), UpstreamId("b") }, false, Term(2), clock.now() };
    std::set<UpstreamId> requested;
};

LogPoint point(std::uint64_t term, std::uint64_t position)
{
    return { Term(term), Position(position) };
}

} // namespace

TEST_GROUP(FormerTerm) {};

// The former primary "a" never followed "old", and a draining upstream did. Guards against the promotion of the log of a former
// term, whose entries all reads since then lacked (review case 12).
TEST(FormerTerm, leavingUpstreamGoesBeforeLogOfFormerTerm)
{
    AsynchronousGroup group;
    group.report("a", 1, point(1, 60));
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(1)).c_str());
    CHECK(group.requested.count(UpstreamId("b")) > 0);
    group.report("b", 2, point(2, 55));
    STRCMP_EQUAL("b", group.advance(std::chrono::milliseconds(100)).c_str());
}

// "old" has written nothing, so the log of the draining upstream ends in the former term as well. Guards against a comparison by
// length alone.
TEST(FormerTerm, entriesBeyondBaselineDoNotMakeLogNewer)
{
    AsynchronousGroup group;
    group.report("a", 1, point(1, 60));
    group.report("b", 2, point(1, 50));
    STRCMP_EQUAL("b", group.advance(std::chrono::milliseconds(500)).c_str());
}

// Two failovers came since "a" was the primary. Guards against entries of its term that are below the last baseline and did not
// survive the failover before.
TEST(FormerTerm, logOfTermBeforeLastIsNotCoveredByBaseline)
{
    AsynchronousGroup group(point(2, 355));
    group.failover = Failover(GroupId("g"), UpstreamId("old"), { UpstreamId("a"), UpstreamId("b") }, true, Term(3), group.clock.now());
    group.failover.compareLogs(point(2, 355), {}, group.clock.now() + waitForLogs);
    group.takeActions();
    group.failover.onChangingWritten(group.clock.bootNow(), group.clock.now());
    group.failover.onInstancesListed({});
    group.report("a", 1, point(1, 360));
    STRCMP_EQUAL("", group.advance(std::chrono::seconds(2)).c_str());
    group.report("a", 3, point(2, 355));
    STRCMP_EQUAL("a", group.advance(std::chrono::milliseconds(500)).c_str());
}

// Nothing but the log of a former term is left. Guards against a group that is never served again.
TEST(FormerTerm, oldLogIsServedInTheEnd)
{
    AsynchronousGroup group;
    group.report("a", 1, point(1, 60));
    STRCMP_EQUAL("", group.advance(waitForLogs - std::chrono::seconds(1)).c_str());
    CHECK_TRUE(group.failover.isProgressing(group.clock.bootNow(), group.clock.now()));
    STRCMP_EQUAL("a", group.advance(std::chrono::seconds(2)).c_str());
}

// Guards against a leaving upstream that is asked, or promoted for a few commits more, and must be replaced at once.
TEST(FormerTerm, stayingUpstreamOfPresentTermIsPreferred)
{
    AsynchronousGroup group;
    group.report("a", 2, point(2, 58));
    STRCMP_EQUAL("a", group.advance(std::chrono::milliseconds(100)).c_str());
    CHECK(group.requested.count(UpstreamId("b")) == 0);
}
