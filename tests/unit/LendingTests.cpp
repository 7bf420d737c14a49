#include "../support/LendingBench.h"
#include "lentiljunction/fleet/LendingPlan.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

constexpr std::size_t numZones = 6;
constexpr std::size_t numUpstreams = 60;
constexpr std::size_t connectionLimit = 88;
constexpr std::uint64_t numSeeds = 80;

std::vector<FleetMember> makeFleet(std::size_t number)
{
    std::vector<FleetMember> members;
    for (std::size_t index = 0; index < number; index++)
        members.push_back({ InstanceId("front-" + std::to_string(index)), ZoneId("z" + std::to_string(index % numZones)), { "10.0.0.1", 1 }, Endpoint { "10.0.0.1", 2 } });
    return members;
}

UpstreamId makeUpstreamId(std::size_t index)
{
    return UpstreamId("u-" + std::to_string(index));
}

/// A session that runs single statements and short transactions on borrowed connections, and records what happened
/// to each.
class BorrowingSession {
public:
    BorrowingSession(LendingBench& bench, std::size_t instance, std::string name)
        : bench(bench)
        , instance(instance)
        , name(std::move(name))
    {
    }

    /// Runs a statement, in a transaction that stays open for a while if `isTransaction`.
    void run(bool isTransaction)
    {
        std::string text = this->name + "-" + std::to_string(this->numStarted++);
        std::shared_ptr<int> numAnswers = std::make_shared<int>(0);
        this->bench.getSource(this->instance).acquire(makeConnectionRequest(this->bench.clock.now() + std::chrono::milliseconds(400)), [this, text, isTransaction, numAnswers](StatementConnection* connection, ConnectionSource::Denial) {
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
            bool isOwnReply = kind != UpstreamCommand::Kind::Forward || reply->rows.front().find(text + " ") != std::string::npos;
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
};

std::size_t countExecuted(const FakeSource& source, const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(source.executed.begin(), source.executed.end(), [&text](const std::string& command) {
        return command.find("READ " + text + "\r") != std::string::npos || command.find("READ " + text + "\n") != std::string::npos;
    }));
}

} // namespace

TEST_GROUP(LendingPlan) {};

// A fleet of hundreds of instances in front of upstreams that accept fewer connections than there are instances.
// Guards against lenders that together keep more than half of an upstream's connections, and against lenders that
// cannot keep any.
TEST(LendingPlan, lendersOfLargeFleetShareHalfOfConnections)
{
    std::vector<FleetMember> fleet = makeFleet(295);
    LendingPlan plan(fleet, ZoneId("z0"));
    CHECK_EQUAL(0, computeConnectionShare(connectionLimit, fleet.size()));
    std::size_t share = computeConnectionShare(connectionLimit, plan.countLenders());
    CHECK(share >= 1);
    CHECK(share * plan.countLenders() <= connectionLimit / 2);
    for (std::size_t index = 0; index < numUpstreams; index++)
        CHECK_EQUAL(2, plan.chooseLenders(makeUpstreamId(index)).size());
}

// Guards against a few instances that lend most of the connections, and with them carry most of the statements.
TEST(LendingPlan, spreadsUpstreamsOverInstances)
{
    std::vector<FleetMember> fleet = makeFleet(295);
    LendingPlan plan(fleet, ZoneId("z0"));
    std::map<InstanceId, std::size_t> numLent;
    for (std::size_t index = 0; index < numUpstreams; index++) {
        for (const FleetMember& lender : plan.chooseLenders(makeUpstreamId(index)))
            numLent[lender.id]++;
    }
    // 120 loans over 50 instances.
    for (const std::pair<const InstanceId, std::size_t>& entry : numLent)
        CHECK(entry.second <= 8);
    CHECK(numLent.size() >= 35);
}

// An instance is lost or joins. Guards against a plan that moves the connections of other lenders as well.
TEST(LendingPlan, lostInstanceMovesOnlyItsOwnUpstreams)
{
    std::vector<FleetMember> fleet = makeFleet(295);
    LendingPlan before(fleet, ZoneId("z0"));
    InstanceId lost = before.chooseLenders(makeUpstreamId(0)).front().id;
    std::vector<FleetMember> remaining;
    std::copy_if(fleet.begin(), fleet.end(), std::back_inserter(remaining), [&lost](const FleetMember& member) { return member.id != lost; });
    LendingPlan after(remaining, ZoneId("z0"));
    for (std::size_t index = 0; index < numUpstreams; index++) {
        std::vector<FleetMember> previous = before.chooseLenders(makeUpstreamId(index));
        std::vector<FleetMember> next = after.chooseLenders(makeUpstreamId(index));
        for (const FleetMember& lender : previous) {
            bool isKept = std::any_of(next.begin(), next.end(), [&lender](const FleetMember& member) { return member.id == lender.id; });
            CHECK_EQUAL(lender.id != lost, isKept);
        }
    }
}

// Instances of an earlier version register no address for loans. Guards against borrowing from them.
TEST(LendingPlan, ignoresInstancesThatDoNotLend)
{
    std::vector<FleetMember> fleet = makeFleet(12);
    for (FleetMember& member : fleet)
        member.lending.reset();
    LendingPlan plan(fleet, ZoneId("z0"));
    CHECK_EQUAL(0, plan.countLenders());
    CHECK(plan.chooseLenders(makeUpstreamId(0)).empty());
}

TEST_GROUP(LenderSelector) {};

// A slow instance. Guards against waiting for it while the other lender responds at once, and against never
// returning to it.
TEST(LenderSelector, leavesSlowLenderAndReturns)
{
    ManualClock clock;
    LenderSelector selector(InstanceId("borrower"));
    std::vector<FleetMember> lenders = makeFleet(2);
    InstanceId preferred = selector.choose(lenders, {}, clock.now())->id;
    InstanceId other = lenders[lenders[0].id == preferred ? 1 : 0].id;
    selector.onResponse(other, std::chrono::milliseconds(1), clock.now());
    for (int count = 0; count < 10; count++)
        selector.onResponse(preferred, std::chrono::milliseconds(60), clock.now());
    CHECK(other == selector.choose(lenders, {}, clock.now())->id);
    clock.advance(std::chrono::seconds(3));
    CHECK(preferred == selector.choose(lenders, {}, clock.now())->id);
}

// Guards against asking a silent lender again at once, and against asking no lender when both were silent for long.
TEST(LenderSelector, avoidsSilentLenderForBackoff)
{
    ManualClock clock;
    LenderSelector selector(InstanceId("borrower"));
    std::vector<FleetMember> lenders = makeFleet(2);
    InstanceId preferred = selector.choose(lenders, {}, clock.now())->id;
    selector.onSilence(preferred, clock.now());
    CHECK(preferred != selector.choose(lenders, {}, clock.now())->id);
    selector.onSilence(selector.choose(lenders, {}, clock.now())->id, clock.now());
    CHECK_FALSE(selector.choose(lenders, {}, clock.now()).has_value());
    clock.advance(std::chrono::seconds(1));
    CHECK(selector.choose(lenders, {}, clock.now()).has_value());
}

// A lender uses its own connections. Guards against borrowing from the other lender.
TEST(LenderSelector, lenderUsesOwnConnections)
{
    ManualClock clock;
    std::vector<FleetMember> lenders = makeFleet(2);
    for (const FleetMember& lender : lenders)
        CHECK_FALSE(LenderSelector(lender.id).choose(lenders, {}, clock.now()).has_value());
}

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
// transactions. Guards against a command that runs twice or after its request was denied, against a reply to
// another statement, and against a command on a connection that its session has given back.
TEST(Lending, runsEachCommandAtMostOnceForAnyOrderOfFaults)
{
    for (std::uint64_t seed = 1; seed <= numSeeds; seed++) {
        Random random(seed);
        LendingBench bench(6, 3);
        std::vector<std::unique_ptr<BorrowingSession>> sessions;
        for (std::size_t index = 0; index < 6; index++)
            sessions.push_back(std::make_unique<BorrowingSession>(bench, index, "s" + std::to_string(index)));
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
            if (killed.count(owner) == 0)
                CHECK_EQUAL(0, bench.getLender(owner).countLent());
        }
        for (std::size_t index = 0; index < 6; index++) {
            const BorrowingSession& session = *sessions[index];
            CHECK_FALSE(session.hasDoubleAnswer);
            CHECK_FALSE(session.hasWrongReply);
            for (int number = 0; number < session.numStarted; number++) {
                std::string text = "s" + std::to_string(index) + "-" + std::to_string(number);
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

TEST_GROUP(LendingMessage) {};

TEST(LendingMessage, encodesAllFields)
{
    LendingMessage message;
    message.kind = LendingMessage::Kind::Borrow;
    message.loan = 7;
    message.upstream = UpstreamId("u1");
    message.rank = Rank::Background;
    message.caller = CallerId("driver");
    message.wait = std::chrono::milliseconds(80);
    message.context.values["zone"] = std::string("a\xff\x00b", 4);
    message.context.preparedNames = { "r-x", "w-y" };
    std::optional<LendingMessage> decoded = decodeLendingMessage(encodeLendingMessage(message));
    CHECK(decoded.has_value());
    CHECK(decoded->upstream == message.upstream);
    CHECK(decoded->rank == message.rank);
    CHECK(decoded->caller == message.caller);
    CHECK(decoded->wait == message.wait);
    CHECK(decoded->context.values == message.context.values);
    CHECK(decoded->context.preparedNames == message.context.preparedNames);

    LendingMessage reply;
    reply.kind = LendingMessage::Kind::Reply;
    reply.reply.rows = { "a", "" };
    reply.reply.signature = "7.1f3";
    reply.reply.code = ReplyCode::Busy;
    reply.reply.message = "no slot";
    reply.reply.state = TransactionState::Failed;
    reply.reply.head = LogPoint { Term(3), Position(9) };
    decoded = decodeLendingMessage(encodeLendingMessage(reply));
    CHECK(decoded.has_value());
    CHECK(decoded->reply.rows == reply.reply.rows);
    STRCMP_EQUAL("7.1f3", decoded->reply.signature.c_str());
    CHECK(decoded->reply.code == ReplyCode::Busy);
    CHECK(decoded->reply.state == TransactionState::Failed);
    CHECK(decoded->reply.head == reply.reply.head);
}

// Guards against a malformed message of another instance that throws or is taken for a valid one.
TEST(LendingMessage, refusesMalformedBytes)
{
    LendingMessage message;
    message.kind = LendingMessage::Kind::Granted;
    std::string valid = encodeLendingMessage(message);
    CHECK(decodeLendingMessage(valid).has_value());
    for (std::size_t length = 0; length < valid.size(); length++)
        CHECK_FALSE(decodeLendingMessage(valid.substr(0, length)).has_value());
    Random random(3);
    for (int count = 0; count < 20000; count++) {
        std::string changed = valid;
        changed[random.below(changed.size())] = static_cast<char>(random.below(256));
        decodeLendingMessage(changed);
    }
}
