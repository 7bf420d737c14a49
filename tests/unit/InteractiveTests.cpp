#include "lentiljunction/interactive/lj_interactive.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace lentiljunction;

namespace {

using Kind = ReplyDecision::Kind;

struct TableRow {
    const char* name;
    StatementTraits statement;
    AttemptOutcome outcome;
    bool mayRetry;
    Kind kind;
    ReplyCode code;
    TransactionState state;
};

constexpr StatementTraits singleRead { AccessMode::Read, false, false, true };
constexpr StatementTraits singleWrite { AccessMode::Write, false, false, true };
constexpr StatementTraits firstRead { AccessMode::Read, true, false, true };
constexpr StatementTraits laterRead { AccessMode::Read, true, false, false };
constexpr StatementTraits laterWrite { AccessMode::Write, true, false, false };
constexpr StatementTraits emptyCommit { AccessMode::Read, true, true, false };
constexpr StatementTraits writingCommit { AccessMode::Write, true, true, false };

constexpr TransactionState idle = TransactionState::Idle;
constexpr TransactionState failed = TransactionState::Failed;

/// The same table as in docs/operating/answers.md.
const std::vector<TableRow> table {
    { "success", singleWrite, AttemptOutcome::Success, false, Kind::Deliver, ReplyCode::None, idle },
    { "error", laterWrite, AttemptOutcome::Error, true, Kind::Deliver, ReplyCode::None, idle },
    { "single read, error that may be the upstream's, time left", singleRead, AttemptOutcome::ErrorOfUpstream, true, Kind::Retry, ReplyCode::None, idle },
    { "single read, error that may be the upstream's, no time", singleRead, AttemptOutcome::ErrorOfUpstream, false, Kind::Deliver, ReplyCode::None, idle },
    { "single write, error that may be the upstream's", singleWrite, AttemptOutcome::ErrorOfUpstream, true, Kind::Deliver, ReplyCode::None, idle },
    { "first read, error that may be the upstream's", firstRead, AttemptOutcome::ErrorOfUpstream, true, Kind::Deliver, ReplyCode::None, idle },
    { "single, not sent, time left", singleWrite, AttemptOutcome::NotSent, true, Kind::Retry, ReplyCode::None, idle },
    { "single, not sent, no time", singleWrite, AttemptOutcome::NotSent, false, Kind::Answer, ReplyCode::Busy, idle },
    { "first, not sent, no time", firstRead, AttemptOutcome::NotSent, false, Kind::Answer, ReplyCode::Busy, failed },
    { "later, not sent", laterWrite, AttemptOutcome::NotSent, true, Kind::Answer, ReplyCode::Busy, failed },
    { "single, not run, time left", singleRead, AttemptOutcome::NotRun, true, Kind::Retry, ReplyCode::None, idle },
    { "single, not run, no time", singleWrite, AttemptOutcome::NotRun, false, Kind::Answer, ReplyCode::Busy, idle },
    { "later, not run", laterRead, AttemptOutcome::NotRun, true, Kind::Deliver, ReplyCode::None, idle },
    { "commit, not run", writingCommit, AttemptOutcome::NotRun, true, Kind::Deliver, ReplyCode::None, idle },
    { "single read, lost, time left", singleRead, AttemptOutcome::ConnectionLost, true, Kind::Retry, ReplyCode::None, idle },
    { "single read, lost, no time", singleRead, AttemptOutcome::ConnectionLost, false, Kind::Answer, ReplyCode::Busy, idle },
    { "single write, lost", singleWrite, AttemptOutcome::ConnectionLost, true, Kind::Answer, ReplyCode::InDoubt, idle },
    { "later write, lost", laterWrite, AttemptOutcome::ConnectionLost, true, Kind::Answer, ReplyCode::Aborted, failed },
    { "empty commit, lost", emptyCommit, AttemptOutcome::ConnectionLost, true, Kind::Answer, ReplyCode::Aborted, idle },
    { "writing commit, lost", writingCommit, AttemptOutcome::ConnectionLost, true, Kind::Answer, ReplyCode::InDoubt, idle },
    { "single read, timed out", singleRead, AttemptOutcome::TimedOut, true, Kind::Answer, ReplyCode::TimedOut, idle },
    { "single write, timed out", singleWrite, AttemptOutcome::TimedOut, true, Kind::Answer, ReplyCode::InDoubt, idle },
    { "later read, timed out", laterRead, AttemptOutcome::TimedOut, true, Kind::Answer, ReplyCode::Aborted, failed },
    { "writing commit, timed out", writingCommit, AttemptOutcome::TimedOut, true, Kind::Answer, ReplyCode::InDoubt, idle },
    { "single read, unverified, time left", singleRead, AttemptOutcome::SuccessUnverified, true, Kind::Retry, ReplyCode::None, idle },
    { "single write, unverified", singleWrite, AttemptOutcome::SuccessUnverified, true, Kind::Answer, ReplyCode::InDoubt, idle },
    { "later read, unverified", laterRead, AttemptOutcome::SuccessUnverified, true, Kind::Answer, ReplyCode::Aborted, failed },
    { "later write, unverified", laterWrite, AttemptOutcome::SuccessUnverified, true, Kind::Deliver, ReplyCode::None, idle },
    { "empty commit, unverified", emptyCommit, AttemptOutcome::SuccessUnverified, true, Kind::Deliver, ReplyCode::None, idle },
    { "writing commit, unverified", writingCommit, AttemptOutcome::SuccessUnverified, true, Kind::Answer, ReplyCode::InDoubt, idle },
};

const std::vector<StatementTraits> allCases { singleRead, singleWrite, firstRead, laterRead, laterWrite, emptyCommit, writingCommit };
const std::vector<AttemptOutcome> allOutcomes { AttemptOutcome::NotSent, AttemptOutcome::NotRun, AttemptOutcome::Error, AttemptOutcome::ErrorOfUpstream, AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut, AttemptOutcome::Success, AttemptOutcome::SuccessUnverified };

} // namespace

TEST_GROUP(ReplyPolicy) {};

TEST(ReplyPolicy, repliesAsTheTableSpecifies)
{
    for (const TableRow& row : table) {
        ReplyDecision decision = decideReply(row.statement, row.outcome, row.mayRetry);
        CHECK_TEXT(decision.kind == row.kind, row.name);
        if (row.kind != Kind::Answer)
            continue;
        CHECK_TEXT(decision.code == row.code, row.name);
        CHECK_TEXT(decision.state == row.state, row.name);
    }
}

TEST(ReplyPolicy, reportsInDoubtWhenChangeMayBeCommitted)
{
    for (const StatementTraits& statement : allCases) {
        bool mayStand = statement.mode == AccessMode::Write && (statement.isCommit || !statement.isInTransaction);
        for (AttemptOutcome outcome : { AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut, AttemptOutcome::SuccessUnverified }) {
            ReplyDecision decision = decideReply(statement, outcome, true);
            if (mayStand)
                CHECK(decision.kind == Kind::Answer && decision.code == ReplyCode::InDoubt);
        }
    }
}

TEST(ReplyPolicy, neverRetriesStatementsOfBegunTransaction)
{
    for (const StatementTraits& statement : { laterRead, laterWrite, emptyCommit, writingCommit }) {
        for (AttemptOutcome outcome : allOutcomes)
            CHECK(decideReply(statement, outcome, true).kind != Kind::Retry);
    }
}

TEST_GROUP(SessionContext)
{
    SessionContext context;
    SessionContext::ConnectionContext connection;

    std::vector<UpstreamCommand::Kind> plan(const PreparedShape* shape = nullptr, bool mayReset = true)
    {
        std::vector<UpstreamCommand::Kind> kinds;
        for (const UpstreamCommand& command : context.planPreparation(connection, shape, mayReset))
            kinds.push_back(command.kind);
        return kinds;
    }
};

TEST(SessionContext, sendsOnlyChangedValues)
{
    context.setValue("tz", "utc");
    CHECK(plan() == std::vector<UpstreamCommand::Kind> { UpstreamCommand::Kind::SetValue });
    CHECK(plan().empty());
    context.setValue("tz", "cet");
    CHECK(plan() == std::vector<UpstreamCommand::Kind> { UpstreamCommand::Kind::SetValue });
}

TEST(SessionContext, resetsValuesOfAnotherSessionFirst)
{
    connection.values["other"] = "1";
    connection.preparedNames.insert("r-x");
    context.setValue("tz", "utc");
    CHECK(plan() == std::vector<UpstreamCommand::Kind>({ UpstreamCommand::Kind::Reset, UpstreamCommand::Kind::SetValue }));
    CHECK(connection.preparedNames.empty());
}

TEST(SessionContext, sharesPreparedShapesButNotNames)
{
    SessionContext other;
    PreparedShape reading { AccessMode::Read, "q1" };
    PreparedShape writing { AccessMode::Write, "q1" };
    context.prepare("s1", reading);
    other.prepare("s1", writing);
    CHECK(SessionContext::getSharedName(reading) != SessionContext::getSharedName(writing));
    CHECK_EQUAL(1, plan(context.findPrepared("s1")).size());
    CHECK_EQUAL(0, plan(context.findPrepared("s1")).size());
    CHECK_EQUAL(1, other.planPreparation(connection, other.findPrepared("s1")).size());
    CHECK_TRUE(context.deallocate("s1"));
    CHECK_FALSE(context.deallocate("s1"));
    CHECK(context.findPrepared("s1") == nullptr);
}

TEST(SessionContext, doesNotResetWithinTransaction)
{
    for (int index = 0; index < 400; index++)
        connection.preparedNames.insert("r-" + std::to_string(index));
    CHECK(plan(nullptr, false).empty());
    CHECK(plan() == std::vector<UpstreamCommand::Kind> { UpstreamCommand::Kind::Reset });
}
