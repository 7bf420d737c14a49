#include "../support/LendingBench.h"
#include "traffic/StatementRun.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

const DatabaseId database("db");
const KeyDigest key = computeKeyDigest("key");

std::shared_ptr<const RouteTable> makeTable(const std::string& holder)
{
    std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
    Route route;
    route.database = database;
    route.group = GroupId("g1");
    route.statementTimeout = std::chrono::seconds(1);
    table->routes[database] = route;
    table->workspaces.emplace();
    if (!holder.empty())
        table->workspaces->add({ WorkspaceId(holder), { key } });
    return table;
}

/// A statement of workspace "alpha" on a connection that its transaction holds.
class KeyBench : private UpstreamPool::Listener {
public:
    KeyBench()
        : state({ this->loop, this->clock, this->protocol, InstanceId("i"), *this }, ZoneId("z"))
        , source(std::make_shared<FakeSource>(this->clock, this->scheduler, UpstreamEntry { UpstreamId("u1"), GroupId("g1"), {}, ZoneId("z") }))
    {
        this->setTable(makeTable("alpha"), std::chrono::seconds(3));
        this->source->acquire({}, [this](StatementConnection* connection, ConnectionSource::Denial) { this->held = { this->source, connection, std::nullopt }; });
        this->scheduler.advance(std::chrono::seconds(1));
    }

    void setTable(const std::shared_ptr<const RouteTable>& table, Duration lifetime)
    {
        BootTime until = this->clock.bootNow() + lifetime;
        std::shared_ptr<RouteConfirmation> confirmation = std::make_shared<RouteConfirmation>();
        confirmation->set({ until, until });
        this->state.setRoutes(table, confirmation);
    }

    /// Starts a write in the transaction that holds the connection, or one outside a transaction.
    void start(bool isInTransaction)
    {
        StatementRequest request;
        request.statement.verb = SessionVerb::Write;
        request.statement.text = "WRITE item v";
        request.traits = { AccessMode::Write, isInTransaction, false, !isInTransaction };
        request.route = findSessionRoute(*this->state.getRoutes(), database);
        request.requirement.route = &request.route->route;
        request.workspace = WorkspaceId("alpha");
        request.key = key;
        request.arrivedAt = this->clock.now();
        this->run = std::make_shared<StatementRun>(this->state, this->context, request, [this](const StatementRun::Result& finished) { this->result = finished; });
        if (isInTransaction)
            this->run->startOnHeldConnection(this->held);
        else
            this->run->start();
    }

    /// Lets commands run that were sent.
    void finish() { this->scheduler.advance(std::chrono::milliseconds(50)); }

    ManualClock clock;
    ManualScheduler scheduler { clock };
    EventLoop loop;
    LineProtocol protocol;
    SessionContext context;
    TrafficState state;
    std::shared_ptr<FakeSource> source;
    HeldConnection held;
    std::shared_ptr<StatementRun> run;
    std::optional<StatementRun::Result> result;

private:
    void onUpstreamUnreachable(const UpstreamEntry&, UpstreamConnection::LossCause) override { }
};

} // namespace

TEST_GROUP(StatementKey) { KeyBench bench; };

TEST(StatementKey, statementOfValidKeyRuns)
{
    this->bench.start(true);
    this->bench.finish();
    CHECK_EQUAL(1, this->bench.source->executed.size());
    CHECK_TRUE(this->bench.result->reply.isSuccess());
}

// The key may be removed between two statements, while the connection under the workspace's name is held.
TEST(StatementKey, statementOfRemovedKeyIsNotSentOnHeldConnection)
{
    this->bench.setTable(makeTable(""), std::chrono::seconds(3));
    this->bench.start(true);
    this->bench.finish();
    CHECK_TRUE(this->bench.source->executed.empty());
    CHECK(this->bench.result->reply.code == ReplyCode::Unauthenticated);
    // The connection is closed, which rolls the transaction back.
    CHECK_FALSE(this->bench.result->held.isHeld());
    CHECK_EQUAL(1, this->bench.source->numClosed);
}

// A held connection was opened under the name of the workspace that held the key before.
TEST(StatementKey, statementIsNotSentUnderNameOfOtherWorkspace)
{
    this->bench.setTable(makeTable("beta"), std::chrono::seconds(3));
    this->bench.start(true);
    this->bench.finish();
    CHECK_TRUE(this->bench.source->executed.empty());
    CHECK(this->bench.result->reply.code == ReplyCode::Aborted);
}

// The commands that prepare a connection take as long as the upstream's queue, and the key may be removed meanwhile.
TEST(StatementKey, statementIsNotSentWhenKeyIsRemovedDuringPreparation)
{
    this->bench.context.setValue("zone", "north");
    this->bench.start(true);
    this->bench.setTable(makeTable(""), std::chrono::seconds(3));
    this->bench.finish();
    CHECK_EQUAL(1, this->bench.source->executed.size());
    STRCMP_CONTAINS("SET", this->bench.source->executed.front().c_str());
    CHECK(this->bench.result->reply.code == ReplyCode::Unauthenticated);
}

// After a pause of the process, a statement in its queue must not run with a configuration that may be out of date.
TEST(StatementKey, statementIsNotSentAfterPause)
{
    this->bench.clock.suspend(std::chrono::seconds(30));
    this->bench.start(false);
    CHECK(this->bench.result->reply.code == ReplyCode::Busy);
    CHECK(this->bench.result->cause == FailureCause::KeyUnconfirmed);
    this->bench.start(true);
    CHECK(this->bench.result->reply.code == ReplyCode::Aborted);
    this->bench.finish();
    CHECK_TRUE(this->bench.source->executed.empty());
}
