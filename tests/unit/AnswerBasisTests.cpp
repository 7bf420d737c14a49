#include "../support/LendingBench.h"
#include "traffic/StatementRun.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

const DatabaseId database("db");
const GroupId group("g1");
const PrimaryTenure tenure { UpstreamId("u1"), 3 };

/// A verifier whose verifications wait until the test decides them.
class FakeVerifier : public PrimaryVerifier {
public:
    void verify(const GroupId&, const PrimaryTenure&, std::function<void(bool)> newCallback) override { this->callback = std::move(newCallback); }

    std::function<void(bool isVerified)> callback;
};

/// A commit on a connection that its transaction holds at the primary u1 of generation 3.
class BasisBench : private UpstreamPool::Listener {
public:
    BasisBench()
        : state({ this->loop, this->clock, this->protocol, InstanceId("i"), *this }, ZoneId("z"))
        , source(std::make_shared<FakeSource>(this->clock, this->scheduler, UpstreamEntry { UpstreamId("u1"), group, {}, ZoneId("z") }))
    {
        std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
        Route route;
        route.database = database;
        route.group = group;
        route.statementTimeout = std::chrono::seconds(1);
        table->routes[database] = route;
        this->state.setRoutes(table);
        this->state.setVerifier(this->verifier);
    }

    /// Sets the record, with u1 or another upstream as the primary, and how long the lease lasts.
    void setRecord(std::uint64_t revision, const std::string& primary, std::uint64_t generation, Duration lease)
    {
        std::shared_ptr<PrimaryRecord> record = std::make_shared<PrimaryRecord>();
        record->groups[group].primary = UpstreamId(primary);
        record->groups[group].generation = generation;
        this->state.setPrimaryView({ { record, StoreVersion(revision) }, this->clock.bootNow() + lease });
    }

    void commit(std::optional<PrimaryTenure> primary)
    {
        this->source->acquire({}, [this, primary](StatementConnection* connection, ConnectionSource::Denial) { this->held = { this->source, connection, primary }; });
        this->scheduler.advance(std::chrono::milliseconds(50));
        StatementRequest request;
        request.statement.verb = SessionVerb::Commit;
        request.statement.text = "COMMIT";
        request.traits = { primary ? AccessMode::Write : AccessMode::Read, true, true, false };
        request.route = findSessionRoute(*this->state.getRoutes(), database);
        request.requirement.route = &request.route->route;
        request.arrivedAt = this->clock.now();
        this->run = std::make_shared<StatementRun>(this->state, this->context, request, [this](const StatementRun::Result& finished) { this->result = finished; });
        this->run->startOnHeldConnection(this->held);
        this->scheduler.advance(std::chrono::milliseconds(50));
    }

    ManualClock clock;
    ManualScheduler scheduler { clock };
    EventLoop loop;
    LineProtocol protocol;
    SessionContext context;
    FakeVerifier verifier;
    TrafficState state;
    std::shared_ptr<FakeSource> source;
    HeldConnection held;
    std::shared_ptr<StatementRun> run;
    std::optional<StatementRun::Result> result;

private:
    void onUpstreamUnreachable(const UpstreamEntry&, UpstreamConnection::LossCause) override { }
};

} // namespace

TEST_GROUP(AnswerBasis) { BasisBench bench; };

TEST(AnswerBasis, commitUnderValidLeaseRestsOnIt)
{
    bench.setRecord(12, "u1", 3, std::chrono::seconds(5));
    bench.commit(tenure);
    CHECK_TRUE(bench.result && bench.result->reply.isSuccess() && bench.result->isAcknowledgedWrite);
    STRCMP_EQUAL("lease", toString(bench.result->basis.kind));
    CHECK_EQUAL(3, bench.result->basis.generation);
    CHECK_EQUAL(12, bench.result->basis.revision.value());
}

// Guards against a line that names the record of the reply's arrival, or a later one, instead of that of the decision.
TEST(AnswerBasis, commitWithoutLeaseRestsOnVerificationUnderTheRecordOfThatMoment)
{
    bench.setRecord(12, "u1", 3, Duration(0));
    bench.commit(tenure);
    CHECK_FALSE(bench.result.has_value());
    bench.setRecord(13, "u1", 3, Duration(0));
    bench.verifier.callback(true);
    CHECK_TRUE(bench.result && bench.result->reply.isSuccess());
    STRCMP_EQUAL("verification", toString(bench.result->basis.kind));
    CHECK_EQUAL(13, bench.result->basis.revision.value());
}

TEST(AnswerBasis, failedVerificationIsNoBasis)
{
    bench.setRecord(12, "u1", 3, Duration(0));
    bench.commit(tenure);
    bench.verifier.callback(false);
    CHECK_TRUE(bench.result && !bench.result->reply.isSuccess() && !bench.result->isAcknowledgedWrite);
    STRCMP_EQUAL("none", toString(bench.result->basis.kind));
}

// Guards against an acknowledgement that is logged under the generation of a later primary.
TEST(AnswerBasis, generationIsThatOfTheTenureAlthoughTheRecordIsNewer)
{
    bench.setRecord(12, "u2", 4, std::chrono::seconds(5));
    bench.commit(tenure);
    CHECK_TRUE(bench.result && !bench.result->reply.isSuccess());
    STRCMP_EQUAL("none", toString(bench.result->basis.kind));
    CHECK_EQUAL(3, bench.result->basis.generation);
}

TEST(AnswerBasis, answerOfReplicaIsNoAcknowledgedWrite)
{
    bench.setRecord(12, "u2", 4, std::chrono::seconds(5));
    bench.commit(std::nullopt);
    CHECK_TRUE(bench.result && bench.result->reply.isSuccess() && !bench.result->isAcknowledgedWrite);
    STRCMP_EQUAL("replica", toString(bench.result->basis.kind));
}
