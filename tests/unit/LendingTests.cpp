#include "../support/LendingBench.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

constexpr std::uint64_t numSeeds = 80;

/// A session that runs single statements and short transactions on borrowed connections, and records what happened
/// to each.
class BorrowingSession {
public:
    BorrowingSession(LendingBench& bench, std::size_t instance, std::string name, std::string workspace = "")
        : bench(bench)
        , instance(instance)
        , name(std::move(name))
        , workspace(std::move(workspace))
    {
    }

    /// Runs a statement, in a transaction that stays open for a while if `isTransaction`.
    void run(bool isTransaction)
    {
        std::string text = this->name + "-" + std::to_string(this->numStarted++);
        std::shared_ptr<int> numAnswers = std::make_shared<int>(0);
        ConnectionSource::Request request = makeConnectionRequest(this->bench.clock.now() + std::chrono::milliseconds(400));
        request.workspace = WorkspaceId(this->workspace);
        this->bench.getSource(this->instance).acquire(request, [this, text, isTransaction, numAnswers](StatementConnection* connection, ConnectionSource::Denial) {
            this->hasDoubleAnswer = this->hasDoubleAnswer || ++*numAnswers > 1;
            this->numGranted += connection != nullptr ? 1 : 0;
            this->numDenied += connection == nullptr ? 1 : 0;
            if (connection == nullptr)
                this->denied.insert(text);
            else if (isTransaction)
                this->begin(*connection, text);
            else
                this->send(*connection, text, UpstreamCommand::Kind::Forward, this->numStarted % 2 == 0, [this, connection] { this->bench.getSource(this->instance).release(connection); });
        });
    }

    std::set<std::string> denied;
    std::set<std::string> succeeded;
    std::set<std::string> lost;
    int numStarted = 0;
    int numGranted = 0;
    int numDenied = 0;
    bool hasDoubleAnswer = false;
    bool hasWrongReply = false;

private:
    void begin(StatementConnection& connection, const std::string& text)
    {
        this->send(connection, text + "-begin", UpstreamCommand::Kind::Begin, false, [this, &connection, text] {
            this->bench.scheduler.schedule(std::chrono::milliseconds(30), [this, &connection, text] {
                this->send(connection, text, UpstreamCommand::Kind::Forward, false, [this, &connection, text] {
                    this->send(connection, text + "-end", UpstreamCommand::Kind::Rollback, true, [this, &connection] { this->bench.getSource(this->instance).release(&connection); });
                });
            });
        });
    }

    void send(StatementConnection& connection, const std::string& text, UpstreamCommand::Kind kind, bool isLast, std::function<void()> next)
    {
        UpstreamCommand command;
        command.kind = kind;
        command.id = RequestId(text);
        command.argument = "READ " + text;
        StatementConnection::ReplyCallback callback = [this, &connection, text, kind, next = std::move(next)](const std::optional<SessionReply>& reply) {
            if (!reply) {
                this->lost.insert(text);
                return this->bench.getSource(this->instance).discard(&connection);
            }
            bool isOwnReply = kind != UpstreamCommand::Kind::Forward || reply->rows.getFirst().find(text + " ") != std::string::npos;
            this->hasWrongReply = this->hasWrongReply || !isOwnReply;
            this->succeeded.insert(text);
            next();
        };
        // A connection is given back with the last command, or with a message of its own.
        if (isLast)
            connection.sendLast(command, std::move(callback));
        else
            connection.send(command, std::move(callback));
    }

    LendingBench& bench;
    std::size_t instance;
    std::string name;
    std::string workspace;
};

std::size_t countExecuted(const FakeSource& source, const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(source.executed.begin(), source.executed.end(), [&text](const std::string& command) {
        return command.find("READ " + text + "\r") != std::string::npos || command.find("READ " + text + "\n") != std::string::npos;
    }));
}

} // namespace

TEST_GROUP(Lending) {};

// Many instances with few statements each, as in a large fleet. Guards against a new connection for each statement.
TEST(Lending, manyInstancesWithFewStatementsReuseConnections)
{
    LendingBench bench(50, 2);
    Random random(1);
    std::vector<std::unique_ptr<BorrowingSession>> sessions;
    for (std::size_t index = 0; index < 50; index++)
        sessions.push_back(std::make_unique<BorrowingSession>(bench, index, "s" + std::to_string(index)));
    int numStatements = 1000;
    for (int count = 0; count < numStatements; count++) {
        sessions[random.below(sessions.size())]->run(false);
        bench.advance(std::chrono::milliseconds(2));
    }
    bench.advance(std::chrono::seconds(1));
    std::size_t numOpened = 0;
    for (std::size_t index = 0; index < 50; index++)
        numOpened += bench.getOwn(index).numOpened;
    int numSucceeded = 0;
    for (const std::unique_ptr<BorrowingSession>& session : sessions)
        numSucceeded += static_cast<int>(session->succeeded.size());
    CHECK_EQUAL(numStatements, numSucceeded);
    CHECK(numOpened <= 8);
}

// The lender is frozen while it holds a connection and while new statements arrive. Guards against statements that
// wait for it although another lender responds, and against giving up or repeating what it was asked to run.
TEST(Lending, frozenLenderKeepsRunningWorkAndGetsNoNew)
{
    LendingBench bench(3, 2);
    std::size_t preferred = 0;
    BorrowingSession first(bench, 2, "first");
    first.run(false);
    bench.advance(std::chrono::milliseconds(20));
    if (bench.getOwn(1).numOpened > 0)
        preferred = 1;
    std::size_t other = 1 - preferred;

    first.run(false);
    bench.advance(std::chrono::microseconds(1100));
    bench.freeze(preferred);
    BorrowingSession second(bench, 2, "second");
    second.run(false);
    bench.advance(std::chrono::milliseconds(200));
    CHECK_EQUAL(1, second.succeeded.size());
    CHECK_EQUAL(1, bench.getOwn(other).executed.size());
    CHECK_EQUAL(1, first.succeeded.size());
    CHECK_EQUAL(0, first.lost.size());

    bench.advance(std::chrono::seconds(2));
    bench.thaw(preferred);
    bench.advance(std::chrono::milliseconds(100));
    CHECK_EQUAL(2, first.succeeded.size());
    CHECK_EQUAL(0, first.lost.size());
    CHECK_EQUAL(2, bench.getOwn(preferred).executed.size());
    CHECK_EQUAL(0, bench.getOwn(preferred).numActive);
}

// A lender stops as planned. Guards against statements that are cut off on connections it has lent, and against
// new loans that keep it from stopping.
TEST(Lending, stoppingLenderFinishesLoansAndGrantsNoNew)
{
    LendingBench bench(3, 2);
    std::vector<std::unique_ptr<BorrowingSession>> sessions;
    for (int count = 0; count < 8; count++) {
        sessions.push_back(std::make_unique<BorrowingSession>(bench, 2, "s" + std::to_string(count)));
        sessions.back()->run(count % 2 == 0);
    }
    bench.advance(std::chrono::milliseconds(2));
    std::size_t stopping = bench.getOwn(0).numOpened > 0 ? 0 : 1;
    bench.getLender(stopping).stop();
    for (const std::unique_ptr<BorrowingSession>& session : sessions)
        session->run(false);
    bench.advance(std::chrono::milliseconds(300));
    for (const std::unique_ptr<BorrowingSession>& session : sessions) {
        CHECK_EQUAL(0, session->lost.size());
        CHECK_EQUAL(0, session->numDenied);
        CHECK_EQUAL(2, session->numGranted);
    }
    CHECK_EQUAL(0, bench.getLender(stopping).countLent());
    for (std::size_t count = 0; count < sessions.size(); count++)
        CHECK_EQUAL(0, countExecuted(bench.getOwn(stopping), "s" + std::to_string(count) + "-1"));
}

// No lender reaches the upstream, or none responds. Guards against refusals while this instance reaches it itself.
TEST(Lending, usesOwnConnectionsWhenLendersCannotLend)
{
    LendingBench bench(3, 2);
    bench.getOwn(0).isCut = true;
    bench.getOwn(1).isCut = true;
    BorrowingSession session(bench, 2, "s");
    session.run(false);
    bench.advance(std::chrono::milliseconds(50));
    CHECK_EQUAL(1, session.succeeded.size());
    CHECK_EQUAL(1, bench.getOwn(2).numOpened);
    CHECK_FALSE(bench.getSource(2).isUnreachable());
    bench.getOwn(2).isCut = true;
    session.run(false);
    bench.advance(std::chrono::milliseconds(50));
    CHECK_EQUAL(1, session.numDenied);
    CHECK(bench.getSource(2).isUnreachable());
}

// Guards against a connection that is kept from others until the message that returns it arrives, and against lending
// it while a transaction is open.
TEST(Lending, lastCommandReturnsConnectionUnlessTransactionIsOpen)
{
    LendingBench bench(3, 2);
    StatementConnection* connection = nullptr;
    bench.getSource(2).acquire(makeConnectionRequest(bench.clock.now() + std::chrono::milliseconds(100)), [&connection](StatementConnection* granted, ConnectionSource::Denial) { connection = granted; });
    bench.advance(std::chrono::milliseconds(1));
    CHECK(connection != nullptr);
    UpstreamCommand command;
    command.kind = UpstreamCommand::Kind::Begin;
    connection->sendLast(command, [](const std::optional<SessionReply>&) {});
    bench.advance(std::chrono::milliseconds(10));
    CHECK_EQUAL(1, bench.getLender(0).countLent() + bench.getLender(1).countLent());
    command.kind = UpstreamCommand::Kind::Rollback;
    connection->sendLast(command, [](const std::optional<SessionReply>&) {});
    bench.advance(std::chrono::milliseconds(10));
    CHECK_EQUAL(0, bench.getLender(0).countLent() + bench.getLender(1).countLent());
    CHECK_EQUAL(1, bench.getBorrower(2).countConnections());
    bool isRefused = false;
    connection->send(command, [&isRefused](const std::optional<SessionReply>& reply) { isRefused = !reply; });
    CHECK_TRUE(isRefused);
    bench.getSource(2).release(connection);
    bench.advance(std::chrono::milliseconds(10));
    CHECK_EQUAL(0, bench.getBorrower(2).countConnections());
    CHECK_EQUAL(0, bench.getOwn(0).numClosed + bench.getOwn(1).numClosed);
}

// A borrower is lost in the middle of a transaction. Guards against a connection that stays lent, and against
// lending it to another session with the transaction still open.
TEST(Lending, connectionOfLostBorrowerIsClosed)
{
    LendingBench bench(4, 2);
    BorrowingSession session(bench, 2, "s");
    session.run(true);
    bench.advance(std::chrono::milliseconds(20));
    std::size_t lender = bench.getOwn(0).numOpened > 0 ? 0 : 1;
    CHECK_EQUAL(1, bench.getLender(lender).countLent());
    bench.kill(2);
    CHECK_EQUAL(0, bench.getLender(lender).countLent());
    CHECK_EQUAL(1, bench.getOwn(lender).numClosed);
}

// A borrower is frozen between the grant and its first command. Guards against a loan that counts as running work and
// keeps others from the upstream.
TEST(Lending, unusedLoanDoesNotCountAsActive)
{
    LendingBench bench(3, 2);
    BorrowingSession session(bench, 2, "s");
    session.run(false);
    bench.advance(std::chrono::microseconds(500));
    bench.freeze(2);
    bench.advance(std::chrono::seconds(1));
    CHECK_EQUAL(0, bench.getOwn(0).numActive);
    CHECK_EQUAL(0, bench.getOwn(1).numActive);
    CHECK_EQUAL(1, bench.getLender(0).countLent() + bench.getLender(1).countLent());
}

// Lenders are frozen, killed and cut off from the upstream at random, while sessions run statements and
// transactions, with and without workspaces. Guards against a command that runs twice or after its request was denied,
// against a reply to another statement, and against a command on a connection that its session has given back or that
// belongs to another workspace.
TEST(Lending, runsEachCommandAtMostOnceForAnyOrderOfFaults)
{
    for (std::uint64_t seed = 1; seed <= numSeeds; seed++) {
        Random random(seed);
        LendingBench bench(6, 3);
        std::vector<std::unique_ptr<BorrowingSession>> sessions;
        for (std::size_t index = 0; index < 6; index++)
            sessions.push_back(std::make_unique<BorrowingSession>(bench, index, "ws-" + std::to_string(index % 3) + "-s" + std::to_string(index), seed % 2 == 0 ? "ws-" + std::to_string(index % 3) : ""));
        std::set<std::size_t> killed;
        for (int step = 0; step < 150; step++) {
            std::size_t instance = random.below(6);
            if (killed.count(instance) == 0)
                sessions[instance]->run(random.below(3) == 0);
            std::size_t victim = random.below(6);
            switch (random.below(14)) {
            case 0:
                bench.freeze(victim);
                break;
            case 1:
            case 2:
                bench.thaw(victim);
                break;
            case 3:
                bench.getOwn(victim).breakUsed();
                break;
            case 4:
                bench.getOwn(victim).isCut = !bench.getOwn(victim).isCut;
                break;
            case 5:
                if (killed.size() < 2 && random.below(8) == 0) {
                    bench.kill(victim);
                    killed.insert(victim);
                }
                break;
            default:
                break;
            }
            bench.advance(std::chrono::microseconds(500 + random.below(12000)));
        }
        for (std::size_t index = 0; index < 6; index++)
            bench.thaw(index);
        bench.advance(std::chrono::seconds(3));
        for (std::size_t owner = 0; owner < 6; owner++) {
            STRCMP_EQUAL("", bench.getOwn(owner).misuse.c_str());
            for (const std::pair<const std::string, std::set<std::string>>& ran : bench.getOwn(owner).workspacesRun)
                CHECK(ran.first.empty() || ran.second == std::set<std::string> { ran.first });
            if (killed.count(owner) == 0)
                CHECK_EQUAL(0, bench.getLender(owner).countLent());
        }
        for (std::size_t index = 0; index < 6; index++) {
            const BorrowingSession& session = *sessions[index];
            CHECK_FALSE(session.hasDoubleAnswer);
            CHECK_FALSE(session.hasWrongReply);
            for (int number = 0; number < session.numStarted; number++) {
                std::string text = "ws-" + std::to_string(index % 3) + "-s" + std::to_string(index) + "-" + std::to_string(number);
                std::size_t numRuns = 0;
                for (std::size_t owner = 0; owner < 6; owner++)
                    numRuns += countExecuted(bench.getOwn(owner), text);
                CHECK(numRuns <= 1);
                if (session.denied.count(text) > 0)
                    CHECK_EQUAL(0, numRuns);
                if (session.succeeded.count(text) > 0)
                    CHECK_EQUAL(1, numRuns);
            }
        }
    }
}

// An instance of an earlier version lends without regard to workspaces. Guards against a statement on a connection that
// was opened under the name of the lender.
TEST(Lending, loanOfOtherWorkspaceIsNotUsed)
{
    LendingBench bench(3, 2);
    BorrowingSession session(bench, 2, "ws-0-s", "ws-0");
    bench.setEarlierVersion(0);
    bench.setEarlierVersion(1);
    session.run(false);
    bench.advance(std::chrono::milliseconds(50));
    CHECK_EQUAL(1, session.succeeded.size());
    CHECK_EQUAL(1, bench.getOwn(2).executed.size());
    CHECK_EQUAL(0, bench.getLender(0).countLent() + bench.getLender(1).countLent());
}

// Guards against both lenders keeping connections of every workspace, of which they then need twice as many.
TEST(Lending, allBorrowersAskTheSameLenderForAWorkspace)
{
    LendingBench bench(12, 2);
    std::vector<std::unique_ptr<BorrowingSession>> sessions;
    for (std::size_t workspace = 0; workspace < 4; workspace++) {
        std::string name = "ws-" + std::to_string(workspace);
        for (std::size_t index = 0; index < 12; index++) {
            sessions.push_back(std::make_unique<BorrowingSession>(bench, index, name + "-s" + std::to_string(index), name));
            sessions.back()->run(false);
            bench.advance(std::chrono::milliseconds(20));
            CHECK_EQUAL(1, sessions.back()->succeeded.size());
        }
    }
    CHECK_EQUAL(4, bench.getOwn(0).numOpened + bench.getOwn(1).numOpened);
    for (std::size_t index = 2; index < 12; index++)
        CHECK_EQUAL(0, bench.getOwn(index).numOpened);
}

// All connections of the lender are in use. Guards against a refusal that does not say when capacity is expected.
TEST(Lending, refusalCarriesExpectedWait)
{
    LendingBench bench(3, 2);
    bench.getOwn(0).limit = 0;
    bench.getOwn(1).limit = 0;
    BorrowingSession session(bench, 2, "s");
    session.run(false);
    bench.advance(std::chrono::milliseconds(500));
    CHECK_EQUAL(1, session.numDenied);
    CHECK(bench.getSource(2).getExpectedWait(Rank::Normal) == bench.getOwn(0).getExpectedWait(Rank::Normal));
    CHECK(bench.getSource(2).getExpectedWait(Rank::Normal) > Duration(0));
}
