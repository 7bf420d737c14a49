#include "lentiljunction/interactive/lj_interactive.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace lentiljunction;

namespace {

using Kind = ReplyVerdict::Kind;

struct TableRow {
    const char* name;
    StatementCase statement;
    AttemptEvent event;
    bool mayRetry;
    Kind kind;
    ReplyCode code;
    TransactionState state;
};

constexpr StatementCase singleRead { AccessMode::Read, false, false, true };
constexpr StatementCase singleWrite { AccessMode::Write, false, false, true };
constexpr StatementCase firstRead { AccessMode::Read, true, false, true };
constexpr StatementCase laterRead { AccessMode::Read, true, false, false };
constexpr StatementCase laterWrite { AccessMode::Write, true, false, false };
constexpr StatementCase emptyCommit { AccessMode::Read, true, true, false };
constexpr StatementCase writingCommit { AccessMode::Write, true, true, false };

constexpr TransactionState idle = TransactionState::Idle;
constexpr TransactionState failed = TransactionState::Failed;

/// docs/operating/answers.md holds the same table.
const std::vector<TableRow> table {
    { "success", singleWrite, AttemptEvent::Success, false, Kind::Deliver, ReplyCode::None, idle },
    { "error", laterWrite, AttemptEvent::Error, true, Kind::Deliver, ReplyCode::None, idle },
    { "single, not sent, time left", singleWrite, AttemptEvent::NotSent, true, Kind::Retry, ReplyCode::None, idle },
    { "single, not sent, no time", singleWrite, AttemptEvent::NotSent, false, Kind::Answer, ReplyCode::Busy, idle },
    { "first, not sent, no time", firstRead, AttemptEvent::NotSent, false, Kind::Answer, ReplyCode::Busy, failed },
    { "later, not sent", laterWrite, AttemptEvent::NotSent, true, Kind::Answer, ReplyCode::Busy, failed },
    { "single, not run, time left", singleRead, AttemptEvent::NotRun, true, Kind::Retry, ReplyCode::None, idle },
    { "single, not run, no time", singleWrite, AttemptEvent::NotRun, false, Kind::Answer, ReplyCode::Busy, idle },
    { "later, not run", laterRead, AttemptEvent::NotRun, true, Kind::Deliver, ReplyCode::None, idle },
    { "commit, not run", writingCommit, AttemptEvent::NotRun, true, Kind::Deliver, ReplyCode::None, idle },
    { "single read, lost, time left", singleRead, AttemptEvent::LinkLost, true, Kind::Retry, ReplyCode::None, idle },
    { "single read, lost, no time", singleRead, AttemptEvent::LinkLost, false, Kind::Answer, ReplyCode::Busy, idle },
    { "single write, lost", singleWrite, AttemptEvent::LinkLost, true, Kind::Answer, ReplyCode::InDoubt, idle },
    { "later write, lost", laterWrite, AttemptEvent::LinkLost, true, Kind::Answer, ReplyCode::Aborted, failed },
    { "empty commit, lost", emptyCommit, AttemptEvent::LinkLost, true, Kind::Answer, ReplyCode::Aborted, idle },
    { "writing commit, lost", writingCommit, AttemptEvent::LinkLost, true, Kind::Answer, ReplyCode::InDoubt, idle },
    { "single read, timed out", singleRead, AttemptEvent::TimedOut, true, Kind::Answer, ReplyCode::TimedOut, idle },
    { "single write, timed out", singleWrite, AttemptEvent::TimedOut, true, Kind::Answer, ReplyCode::InDoubt, idle },
    { "later read, timed out", laterRead, AttemptEvent::TimedOut, true, Kind::Answer, ReplyCode::Aborted, failed },
    { "writing commit, timed out", writingCommit, AttemptEvent::TimedOut, true, Kind::Answer, ReplyCode::InDoubt, idle },
    { "single read, unproved, time left", singleRead, AttemptEvent::SuccessUnproved, true, Kind::Retry, ReplyCode::None, idle },
    { "single write, unproved", singleWrite, AttemptEvent::SuccessUnproved, true, Kind::Answer, ReplyCode::InDoubt, idle },
    { "later read, unproved", laterRead, AttemptEvent::SuccessUnproved, true, Kind::Answer, ReplyCode::Aborted, failed },
    { "later write, unproved", laterWrite, AttemptEvent::SuccessUnproved, true, Kind::Deliver, ReplyCode::None, idle },
    { "empty commit, unproved", emptyCommit, AttemptEvent::SuccessUnproved, true, Kind::Deliver, ReplyCode::None, idle },
    { "writing commit, unproved", writingCommit, AttemptEvent::SuccessUnproved, true, Kind::Answer, ReplyCode::InDoubt, idle },
};

const std::vector<StatementCase> allCases { singleRead, singleWrite, firstRead, laterRead, laterWrite, emptyCommit, writingCommit };
const std::vector<AttemptEvent> allEvents { AttemptEvent::NotSent, AttemptEvent::NotRun, AttemptEvent::Error, AttemptEvent::LinkLost, AttemptEvent::TimedOut, AttemptEvent::Success, AttemptEvent::SuccessUnproved };

} // namespace

TEST_GROUP(ReplyPolicy) {};

TEST(ReplyPolicy, theTableHolds)
{
    for (const TableRow& row : table) {
        ReplyVerdict verdict = decideReply(row.statement, row.event, row.mayRetry);
        CHECK_TEXT(verdict.kind == row.kind, row.name);
        if (row.kind != Kind::Answer)
            continue;
        CHECK_TEXT(verdict.code == row.code, row.name);
        CHECK_TEXT(verdict.state == row.state, row.name);
    }
}

TEST(ReplyPolicy, nothingThatMayStandIsSentAgainOrPromisedAway)
{
    for (const StatementCase& statement : allCases) {
        bool mayStand = statement.mode == AccessMode::Write && (statement.isCommit || !statement.isInTransaction);
        for (AttemptEvent event : { AttemptEvent::LinkLost, AttemptEvent::TimedOut, AttemptEvent::SuccessUnproved }) {
            ReplyVerdict verdict = decideReply(statement, event, true);
            if (mayStand)
                CHECK(verdict.kind == Kind::Answer && verdict.code == ReplyCode::InDoubt);
        }
    }
}

TEST(ReplyPolicy, aTransactionThatHasBegunIsNeverMovedToAnotherConnection)
{
    for (const StatementCase& statement : { laterRead, laterWrite, emptyCommit, writingCommit }) {
        for (AttemptEvent event : allEvents)
            CHECK(decideReply(statement, event, true).kind != Kind::Retry);
    }
}

TEST_GROUP(SessionContext)
{
    SessionContext context;
    SessionContext::LinkContext link;

    std::vector<UpstreamCommand::Kind> plan(const PreparedShape* shape = nullptr, bool mayTidy = true)
    {
        std::vector<UpstreamCommand::Kind> kinds;
        for (const UpstreamCommand& command : context.planPreparation(link, shape, mayTidy))
            kinds.push_back(command.kind);
        return kinds;
    }
};

TEST(SessionContext, onlyWhatDiffersIsSent)
{
    context.setValue("tz", "utc");
    CHECK(plan() == std::vector<UpstreamCommand::Kind> { UpstreamCommand::Kind::SetValue });
    CHECK(plan().empty());
    context.setValue("tz", "cet");
    CHECK(plan() == std::vector<UpstreamCommand::Kind> { UpstreamCommand::Kind::SetValue });
}

TEST(SessionContext, anothersLeftoverIsClearedFirst)
{
    link.values["other"] = "1";
    link.preparedNames.insert("r-x");
    context.setValue("tz", "utc");
    CHECK(plan() == std::vector<UpstreamCommand::Kind>({ UpstreamCommand::Kind::Reset, UpstreamCommand::Kind::SetValue }));
    CHECK(link.preparedNames.empty());
}

TEST(SessionContext, sessionsShareAShapeAndNeverAName)
{
    SessionContext other;
    PreparedShape reading { AccessMode::Read, "q1" };
    PreparedShape writing { AccessMode::Write, "q1" };
    context.prepare("s1", reading);
    other.prepare("s1", writing);
    CHECK(SessionContext::getSharedName(reading) != SessionContext::getSharedName(writing));
    CHECK_EQUAL(1, plan(context.findPrepared("s1")).size());
    CHECK_EQUAL(0, plan(context.findPrepared("s1")).size());
    CHECK_EQUAL(1, other.planPreparation(link, other.findPrepared("s1")).size());
    CHECK_TRUE(context.deallocate("s1"));
    CHECK_FALSE(context.deallocate("s1"));
    CHECK(context.findPrepared("s1") == nullptr);
}

TEST(SessionContext, aConnectionIsNotTidiedWithinATransaction)
{
    for (int index = 0; index < 400; index++)
        link.preparedNames.insert("r-" + std::to_string(index));
    CHECK(plan(nullptr, false).empty());
    CHECK(plan() == std::vector<UpstreamCommand::Kind> { UpstreamCommand::Kind::Reset });
}
