#include "../support/EngineConnection.h"
#include "lentiljunction/execution/Statement.h"
#include "lentiljunction/execution/TransactionRunner.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

constexpr int maximumBatches = 6;
constexpr int maximumStatements = 7;

/// The last step of one run and the state of the runner after it.
struct RunResult {
    TransactionRunner::Step step;
    bool isInDoubt = false;
    bool isClean = false;
    bool wasFaultInjected = false;
};

TransactionPlan makeBooking(bool isKeyed, const std::string& id = "b1")
{
    TransactionPlan plan;
    plan.kind = TransactionPlan::Kind::Write;
    plan.statements = { "INSERT INTO bookings VALUES ('" + id + "')" };
    plan.statusSql = engineStatusSql;
    if (isKeyed)
        plan.key = IdempotencyKey { "1000:" + id, 1000 };
    return plan;
}

RunResult runPlan(standins::SqlEngine& engine, const TransactionPlan& plan, FaultPoint point)
{
    EngineConnection connection(engine, point);
    TransactionRunner runner(plan);
    RunResult end;
    end.step = runner.start();
    while (end.step.kind == TransactionRunner::Step::Kind::Send)
        end.step = runner.onReply(connection.execute(end.step.sql));
    end.isInDoubt = runner.isInDoubt();
    end.isClean = runner.isConnectionClean();
    end.wasFaultInjected = connection.wasFaultInjected();
    return end;
}

/// Calls the check for every fault at every statement of every batch.
///
/// @returns the number of faults that were injected
template <typename Check>
int forEachFault(Check check)
{
    int numInjected = 0;
    for (BatchFault fault : { BatchFault::LostBefore, BatchFault::LostMidway, BatchFault::LostAfter, BatchFault::FencedMidway }) {
        for (int batch = 0; batch < maximumBatches; batch++) {
            for (int statement = 0; statement < maximumStatements; statement++)
                numInjected += check(FaultPoint { fault, batch, statement }) ? 1 : 0;
        }
    }
    return numInjected;
}

std::string describe(FaultPoint point)
{
    return "fault " + std::to_string(static_cast<int>(point.fault)) + " at batch " + std::to_string(point.batch) + " statement " + std::to_string(point.statement);
}

/// Whether the reported outcome matches the content of the database.
bool isOutcomeCorrect(const RunResult& end, int numBookings)
{
    if (end.step.kind == TransactionRunner::Step::Kind::Confirm)
        return numBookings == 1;
    switch (end.step.outcome.kind) {
    case OutcomeKind::NotRun:
    case OutcomeKind::Rejected:
        return numBookings == 0;
    case OutcomeKind::Unknown:
        return end.isInDoubt;
    case OutcomeKind::Completed:
        return false;
    }
    return false;
}

} // namespace

TEST_GROUP(TransactionRunner) {};

TEST(TransactionRunner, reportsCorrectOutcomeForEveryFaultOfWrite)
{
    for (bool isKeyed : { false, true }) {
        int numInjected = forEachFault([&](FaultPoint point) {
            std::unique_ptr<standins::SqlEngine> engine = makePrimaryEngine();
            RunResult end = runPlan(*engine, makeBooking(isKeyed), point);
            if (!isOutcomeCorrect(end, countBookings(*engine, "b1")))
                FAIL((describe(point) + (isKeyed ? " keyed" : " plain")).c_str());
            return end.wasFaultInjected;
        });
        CHECK(numInjected > 10);
    }
}

TEST(TransactionRunner, runsKeyedWriteExactlyOnceWhenRetriedAfterFault)
{
    forEachFault([&](FaultPoint point) {
        std::unique_ptr<standins::SqlEngine> engine = makePrimaryEngine();
        RunResult first = runPlan(*engine, makeBooking(true), point);
        if (point.fault == BatchFault::FencedMidway && first.wasFaultInjected)
            engine->getLog().promote(Term(50));
        RunResult second = runPlan(*engine, makeBooking(true), FaultPoint());
        RunResult third = runPlan(*engine, makeBooking(true), FaultPoint());

        bool isDone = second.step.kind == TransactionRunner::Step::Kind::Confirm && third.step.kind == TransactionRunner::Step::Kind::Confirm;
        if (!isDone || countBookings(*engine, "b1") != 1)
            FAIL(describe(point).c_str());
        return first.wasFaultInjected;
    });
}

TEST(TransactionRunner, runsKeyedWriteAtMostOnceAfterTwoFaults)
{
    forEachFault([&](FaultPoint firstPoint) {
        bool isFirstStatement = firstPoint.statement < 3;
        if (!isFirstStatement)
            return false;
        forEachFault([&](FaultPoint secondPoint) {
            std::unique_ptr<standins::SqlEngine> engine = makePrimaryEngine();
            runPlan(*engine, makeBooking(true), firstPoint);
            engine->getLog().promote(Term(50));
            RunResult second = runPlan(*engine, makeBooking(true), secondPoint);
            if (countBookings(*engine, "b1") > 1)
                FAIL((describe(firstPoint) + ", then " + describe(secondPoint)).c_str());
            return second.wasFaultInjected;
        });
        return true;
    });
}

TEST(TransactionRunner, neverReportsLostConnectionClean)
{
    forEachFault([&](FaultPoint point) {
        std::unique_ptr<standins::SqlEngine> engine = makePrimaryEngine();
        RunResult end = runPlan(*engine, makeBooking(true), point);
        bool isLost = end.wasFaultInjected && point.fault != BatchFault::FencedMidway;
        if (isLost && end.isClean)
            FAIL(describe(point).c_str());
        return end.wasFaultInjected;
    });
}

TEST(TransactionRunner, returnsStoredOutcomeForRepeat)
{
    std::unique_ptr<standins::SqlEngine> engine = makePrimaryEngine();
    TransactionPlan plan = makeBooking(true);
    plan.statements.push_back("SELECT 'receipt', NULL");
    RunResult first = runPlan(*engine, plan, FaultPoint());
    RunResult repeat = runPlan(*engine, plan, FaultPoint());
    CHECK(repeat.step.kind == TransactionRunner::Step::Kind::Confirm);
    CHECK(repeat.step.outcome.results.back().rows == first.step.outcome.results.back().rows);
    CHECK_EQUAL(1, countBookings(*engine, "b1"));
}

TEST(TransactionRunner, refusesKeyUsedForOtherStatements)
{
    std::unique_ptr<standins::SqlEngine> engine = makePrimaryEngine();
    runPlan(*engine, makeBooking(true), FaultPoint());
    TransactionPlan other = makeBooking(true, "b2");
    other.key = makeBooking(true).key;
    RunResult end = runPlan(*engine, other, FaultPoint());
    CHECK(end.step.outcome.kind == OutcomeKind::NotRun);
    CHECK(end.step.outcome.reason == NotRunReason::KeyReused);
    CHECK_EQUAL(0, countBookings(*engine, "b2"));
}

TEST(TransactionRunner, refusesReadBehindSession)
{
    std::unique_ptr<standins::SqlEngine> engine = makePrimaryEngine();
    TransactionPlan plan;
    plan.kind = TransactionPlan::Kind::Read;
    plan.statements = { "SELECT count(*) FROM bookings" };
    plan.statusSql = engineStatusSql;
    LogPoint head = engine->getLog().getStatus().head;

    plan.requiredPoint = LogPoint { head.term, head.position.next() };
    CHECK(runPlan(*engine, plan, FaultPoint()).step.outcome.reason == NotRunReason::ReplicaBehind);
    plan.requiredPoint = head;
    CHECK(runPlan(*engine, plan, FaultPoint()).step.outcome.kind == OutcomeKind::Completed);

    engine->getLog().fence(Term(7));
    engine->getLog().promote(Term(7));
    plan.requiredPoint = LogPoint { head.term, head.position.next() };
    CHECK(runPlan(*engine, plan, FaultPoint()).step.outcome.reason == NotRunReason::SessionLost);
}

TEST(TransactionRunner, rejectsFailedStatementWithItsSqlState)
{
    std::unique_ptr<standins::SqlEngine> engine = makePrimaryEngine();
    for (bool isKeyed : { false, true }) {
        TransactionPlan plan = makeBooking(isKeyed);
        plan.statements.push_back("INSERT INTO missing VALUES (1)");
        RunResult end = runPlan(*engine, plan, FaultPoint());
        CHECK(end.step.outcome.kind == OutcomeKind::Rejected);
        STRCMP_EQUAL("42P01", end.step.outcome.sqlState.c_str());
        CHECK(end.isClean);
        CHECK_EQUAL(0, countBookings(*engine, "b1"));
    }
}

TEST(TransactionRunner, keepsConnectionUntilInteractiveTransactionEnds)
{
    std::unique_ptr<standins::SqlEngine> engine = makePrimaryEngine();
    EngineConnection connection(*engine, FaultPoint());
    TransactionPlan plan = makeBooking(false);
    for (TransactionPlan::Kind kind : { TransactionPlan::Kind::Begin, TransactionPlan::Kind::Continue, TransactionPlan::Kind::Commit }) {
        plan.kind = kind;
        TransactionRunner runner(plan);
        TransactionRunner::Step step = runner.onReply(connection.execute(runner.start().sql));
        bool isEnd = kind == TransactionPlan::Kind::Commit;
        CHECK(runner.isTransactionOpen() != isEnd);
        CHECK((step.kind == TransactionRunner::Step::Kind::Confirm) == isEnd);
    }
    CHECK_EQUAL(3, countBookings(*engine, "b1"));
}

TEST_GROUP(Statement) {};

TEST(Statement, classifiesByFirstKeyword)
{
    CHECK(classifyStatement("  select 1;") == StatementKind::Read);
    CHECK(classifyStatement("SELECT * FROM t FOR UPDATE") == StatementKind::Write);
    CHECK(classifyStatement("with x as (select 1) select * from x") == StatementKind::Write);
    CHECK(classifyStatement("INSERT INTO t VALUES ('a;b')") == StatementKind::Write);
    for (const char* control : { "BEGIN", "commit", "Rollback", "SAVEPOINT s", "START TRANSACTION", "END", "abort" })
        CHECK(classifyStatement(control) == StatementKind::TransactionControl);
    for (const char* malformed : { "", " ; ", "SELECT 1; COMMIT", "SELECT 1 -- x", "SELECT /* x */ 1", "SELECT 'open", "SELECT $$x$$" })
        CHECK(classifyStatement(malformed) == StatementKind::Malformed);
}

TEST(Statement, quotesAnyTextAsOneLiteral)
{
    CHECK(rc::check("no text can terminate its own literal", [](const std::string& text) {
        std::string printable;
        for (char character : text)
            printable.push_back(character == 0 ? 'x' : character);
        RC_ASSERT(standins::splitBatch("SELECT " + quoteLiteral(printable)).size() == 1);
    }));
}
