#include "../../platform/LineProtocol.h"
#include "../../src/cli/RouteText.h"
#include "../../src/gateway/RouteExplanationCodec.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr std::chrono::milliseconds maximumStaleness { 1000 };

LogPoint point(std::uint64_t position)
{
    return { Term(1), Position(position) };
}

/// Connections to an upstream that are described but never used.
class StubSource : public ConnectionSource {
public:
    explicit StubSource(UpstreamEntry upstream)
        : upstream(std::move(upstream))
    {
    }

    Ticket acquire(const Request&, Grant) override { return this->reportUse(); }
    void cancelAcquire(Ticket) override { this->reportUse(); }
    void release(StatementConnection*) override { this->reportUse(); }
    void discard(StatementConnection*) override { this->reportUse(); }
    void onRefused(StatementConnection*) override { this->reportUse(); }
    void activate(StatementConnection*) override { this->reportUse(); }
    void deactivate(StatementConnection*) override { this->reportUse(); }
    void probeIfDue() override { this->reportUse(); }
    bool isUnreachable() const override { return this->isCut; }
    bool hasIdle() const override { return true; }
    Duration getLatency() const override { return std::chrono::milliseconds(8); }
    double getLoad() const override { return this->load; }
    std::optional<Forecast> forecast(const Request&) const override { return this->expected; }
    const UpstreamEntry& getUpstream() const override { return this->upstream; }

    bool isCut = false;
    double load = 0;
    std::optional<Forecast> expected = Forecast();

private:
    Ticket reportUse()
    {
        FAIL("an explanation used a connection");
        return 0;
    }

    UpstreamEntry upstream;
};

/// The state of one instance in zone z1: u1 in z1 is the primary, u2 in z1 and u3 in z2 are replicas.
class RouteBench : private UpstreamPool::Listener {
public:
    RouteBench()
        : upstreams(std::make_shared<UpstreamList>())
        , routes(std::make_shared<RouteTable>())
        , record(std::make_shared<PrimaryRecord>())
        , state({ this->loop, this->clock, this->protocol, InstanceId("front-1"), *this }, ZoneId("z1"))
    {
        for (std::pair<const char*, const char*> upstream : { std::make_pair("u1", "z1"), std::make_pair("u2", "z1"), std::make_pair("u3", "z2") }) {
            UpstreamEntry entry;
            entry.id = UpstreamId(upstream.first);
            entry.group = this->group;
            entry.zone = ZoneId(upstream.second);
            this->upstreams->entries[entry.id] = entry;
            this->sources[entry.id] = std::make_shared<StubSource>(entry);
        }
        this->record->groups[this->group].primary = UpstreamId("u1");
        this->addRoute("fresh", Consistency::Primary);
        this->addRoute("shop", Consistency::BoundedStaleness);
        this->routes->version = BundleVersion(7);
        this->hasLease = true;
    }

    void addRoute(const char* database, Consistency consistency)
    {
        this->routes->routes[DatabaseId(database)] = Route { DatabaseId(database), this->group, consistency, Rank::Normal, std::chrono::milliseconds(1000), std::chrono::milliseconds(50), maximumStaleness };
    }

    /// Passes what was set to the state.
    void apply()
    {
        this->state.setUpstreams(this->upstreams);
        this->state.setRoutes(this->routes, this->confirmation);
        this->state.setPrimaryView({ { this->record, StoreVersion(1), StoreEra() }, this->clock.bootNow() + std::chrono::seconds(this->hasLease ? 10 : -1) });
    }

    void addProof(std::uint64_t head) { this->state.addFreshnessProofs({ { this->group, 0, this->clock.bootNow(), point(head) } }); }

    RouteExplanation explain(const char* database, RouteQuestion::Kind kind, const char* workspace = "")
    {
        Failure failure;
        RouteExplainer explainer(this->state, [this](const UpstreamEntry& upstream) { return this->sources.at(upstream.id); });
        std::optional<RouteExplanation> answer = explainer.explain({ DatabaseId(database), kind, WorkspaceId(workspace) }, failure);
        if (!answer)
            FAIL(failure.reason.c_str());
        return *answer;
    }

    static std::optional<Exclusion> findExclusion(const RouteExplanation& answer, std::size_t index) { return answer.upstreams.at(index).exclusion; }

    GroupId group { "g" };
    ManualClock clock;
    EventLoop loop;
    LineProtocol protocol;
    std::shared_ptr<UpstreamList> upstreams;
    std::shared_ptr<RouteTable> routes;
    std::shared_ptr<PrimaryRecord> record;
    std::shared_ptr<RouteConfirmation> confirmation = std::make_shared<RouteConfirmation>();
    bool hasLease = false;
    std::map<UpstreamId, std::shared_ptr<StubSource>> sources;
    TrafficState state;

private:
    void onUpstreamUnreachable(const UpstreamEntry&, UpstreamConnection::LossCause) override { }
};

} // namespace

TEST_GROUP(RouteExplanation)
{
    RouteBench bench;
    const UpstreamId primary { "u1" };
    const UpstreamId near { "u2" };
    const UpstreamId far { "u3" };
};

TEST(RouteExplanation, failsWithoutRoutesAndForUnknownDatabase)
{
    Failure failure;
    CHECK_FALSE(RouteExplainer(bench.state, nullptr).explain({ DatabaseId("shop") }, failure).has_value());
    CHECK(failure.kind == Failure::Kind::Unavailable);
    bench.apply();
    CHECK_FALSE(RouteExplainer(bench.state, nullptr).explain({ DatabaseId("nowhere") }, failure).has_value());
    CHECK(failure.kind == Failure::Kind::NotFound);
    STRCMP_CONTAINS("nowhere", failure.reason.c_str());
}

TEST(RouteExplanation, choosesPrimaryForWritesAndFreshReads)
{
    bench.apply();
    for (RouteQuestion::Kind kind : { RouteQuestion::Kind::Write, RouteQuestion::Kind::Begin }) {
        RouteExplanation answer = bench.explain("shop", kind);
        CHECK(answer.chosen == primary);
        CHECK(bench.findExclusion(answer, 1) == Exclusion::NotPrimary);
    }
    CHECK(bench.explain("fresh", RouteQuestion::Kind::BeginRead).chosen == primary);
}

TEST(RouteExplanation, namesObstacleOfPrimary)
{
    CHECK(bench.state.decidePrimary(bench.group).obstacle == PrimaryObstacle::Unknown);
    bench.record->groups.clear();
    bench.apply();
    RouteExplanation answer = bench.explain("shop", RouteQuestion::Kind::Write);
    CHECK(answer.primary.obstacle == PrimaryObstacle::Unknown);
    CHECK(answer.cause == FailureCause::NoPrimary);

    bench.record->groups[bench.group].primary = primary;
    bench.hasLease = false;
    bench.apply();
    answer = bench.explain("shop", RouteQuestion::Kind::Write);
    CHECK(answer.primary.obstacle == PrimaryObstacle::NoLease);
    CHECK(bench.findExclusion(answer, 0) == Exclusion::PrimaryNotUsable);

    bench.record->groups[bench.group].phase = PrimaryPhase::Changing;
    bench.apply();
    CHECK(bench.explain("shop", RouteQuestion::Kind::Write).primary.obstacle == PrimaryObstacle::Changing);

    bench.record->groups[bench.group].phase = PrimaryPhase::Stable;
    bench.hasLease = true;
    bench.upstreams->entries[primary].isLeaving = true;
    bench.apply();
    CHECK(bench.explain("shop", RouteQuestion::Kind::Write).primary.obstacle == PrimaryObstacle::Leaving);

    bench.upstreams->entries.erase(primary);
    bench.apply();
    CHECK(bench.explain("shop", RouteQuestion::Kind::Write).primary.obstacle == PrimaryObstacle::NotListed);
}

// A statement waits only when the primary is expected back before its deadline; the answer must say the same.
TEST(RouteExplanation, tellsWhetherStatementWaitsForPrimary)
{
    bench.hasLease = false;
    bench.apply();
    RouteExplanation refused = bench.explain("shop", RouteQuestion::Kind::Write);
    CHECK(refused.action == RouteExplanation::Action::Refuse);
    CHECK(refused.expectedReturn == std::chrono::milliseconds(900));

    bench.routes->routes.at(DatabaseId("shop")).statementTimeout = std::chrono::seconds(5);
    RouteExplanation waiting = bench.explain("shop", RouteQuestion::Kind::Write);
    CHECK(waiting.action == RouteExplanation::Action::Wait);
    CHECK(waiting.longestWait == std::chrono::seconds(2));
    CHECK_FALSE(bench.state.getExpectedReturn(bench.group).has_value());
}

TEST(RouteExplanation, comparesCandidatesByZoneLagAndLoad)
{
    bench.apply();
    bench.addProof(10);
    RouteExplanation answer = bench.explain("shop", RouteQuestion::Kind::Read);
    CHECK(answer.chosen == near);
    CHECK(answer.upstreams[0].estimate->primary.count() > 0);
    CHECK_EQUAL(0, answer.upstreams[1].estimate->crossZone.count());
    CHECK(answer.upstreams[2].estimate->crossZone.count() > 0);

    bench.clock.advance(maximumStaleness);
    bench.addProof(12);
    bench.clock.advance(maximumStaleness);
    bench.addProof(20);
    bench.state.onHead(near, point(9), bench.clock.bootNow());
    answer = bench.explain("shop", RouteQuestion::Kind::Read);
    CHECK(answer.chosen == far);
    CHECK(answer.upstreams[1].estimate->lag.count() > 0);
    CHECK_EQUAL(11, *answer.upstreams[1].lag);

    bench.sources[far]->load = 20;
    bench.clock.advance(std::chrono::milliseconds(100));
    CHECK(bench.explain("shop", RouteQuestion::Kind::Read).chosen == near);
}

TEST(RouteExplanation, namesWhyUpstreamIsLeftOut)
{
    bench.apply();
    RouteExplanation answer = bench.explain("shop", RouteQuestion::Kind::Read);
    CHECK(answer.chosen == primary);
    CHECK(bench.findExclusion(answer, 1) == Exclusion::NoFreshnessProof);

    bench.addProof(10);
    bench.sources[near]->isCut = true;
    bench.upstreams->entries[far].isLeaving = true;
    bench.apply();
    answer = bench.explain("shop", RouteQuestion::Kind::Read);
    CHECK(answer.chosen == primary);
    CHECK(bench.findExclusion(answer, 1) == Exclusion::Unreachable);
    CHECK(bench.findExclusion(answer, 2) == Exclusion::Leaving);
    CHECK_FALSE(answer.upstreams[1].estimate.has_value());
}

TEST(RouteExplanation, readGoesToNextUpstreamWhenQueueIsTooLong)
{
    bench.apply();
    bench.addProof(10);
    bench.sources[near]->expected->denial = ConnectionSource::Denial::TooLong;
    RouteExplanation answer = bench.explain("shop", RouteQuestion::Kind::Read);
    CHECK(answer.chosen == far);
    CHECK(bench.findExclusion(answer, 1) == Exclusion::TooLoaded);

    for (const std::pair<const UpstreamId, std::shared_ptr<StubSource>>& source : bench.sources)
        source.second->expected->denial = ConnectionSource::Denial::TooLong;
    for (RouteQuestion::Kind kind : { RouteQuestion::Kind::Read, RouteQuestion::Kind::Write }) {
        answer = bench.explain("shop", kind);
        CHECK(answer.action == RouteExplanation::Action::Refuse);
        CHECK(answer.cause == FailureCause::WaitTooLong);
    }
}

TEST(RouteExplanation, readWithoutAnyFreshUpstreamNamesCause)
{
    bench.hasLease = false;
    bench.apply();
    RouteExplanation answer = bench.explain("shop", RouteQuestion::Kind::Read);
    CHECK_FALSE(answer.chosen.has_value());
    CHECK(answer.cause == FailureCause::NoFreshData);
    nlohmann::json document = toJson(answer);
    STRCMP_EQUAL("no_fresh_data", document["decision"]["cause"].get<std::string>().c_str());
    STRCMP_CONTAINS("the lease on the primary record has expired", formatRoute(document).c_str());
    STRCMP_CONTAINS("left out: nothing proves that its data is fresh enough", formatRoute(document).c_str());
}

TEST(RouteExplanation, refusesWorkspaceWithoutValidKey)
{
    bench.routes->workspaces.emplace();
    bench.routes->workspaces->add({ WorkspaceId("w1"), { computeKeyDigest("secret-key") }, 10, 20 });
    bench.addProof(10);
    bench.apply();
    CHECK(bench.explain("shop", RouteQuestion::Kind::Read, "w1").cause == FailureCause::KeyUnconfirmed);

    BootTime later = bench.clock.bootNow() + std::chrono::seconds(1);
    bench.confirmation->set({ later, later });
    RouteExplanation known = bench.explain("shop", RouteQuestion::Kind::Write, "w1");
    CHECK(known.chosen == primary);
    std::string text = toJson(known).dump() + formatRoute(toJson(known));
    STRCMP_CONTAINS("workspace: w1, known, key accepted, limit 10.0 per second, burst 20.0", text.c_str());
    CHECK(text.find("secret-key") == std::string::npos && text.find(computeKeyDigest("secret-key").toString()) == std::string::npos);

    RouteExplanation unknown = bench.explain("shop", RouteQuestion::Kind::Read, "w2");
    CHECK(unknown.action == RouteExplanation::Action::Refuse);
    CHECK(unknown.cause == FailureCause::KeyUnknown);
    STRCMP_CONTAINS("give --workspace NAME", formatRoute(toJson(bench.explain("shop", RouteQuestion::Kind::Read))).c_str());
    bench.routes->routes.at(DatabaseId("shop")).isPublic = true;
    CHECK(bench.explain("shop", RouteQuestion::Kind::Write, "w2").chosen == primary);
}

// The answer is worthless if it names another upstream than a statement gets. An explanation that created a pool would
// also show up in the metrics.
TEST(RouteExplanation, agreesWithStatementsAndChangesNothing)
{
    bool isSuccessful = rc::check([] {
        RouteBench bench;
        bench.hasLease = *rc::gen::arbitrary<bool>();
        for (std::pair<const UpstreamId, UpstreamEntry>& entry : bench.upstreams->entries) {
            entry.second.isLeaving = *rc::gen::inRange(0, 4) == 0;
            entry.second.zone = ZoneId(*rc::gen::element("z1", "z2"));
        }
        bench.apply();
        if (*rc::gen::arbitrary<bool>())
            bench.addProof(10);
        for (const char* upstream : { "u1", "u2", "u3" }) {
            if (*rc::gen::arbitrary<bool>())
                bench.state.onHead(UpstreamId(upstream), point(*rc::gen::inRange<std::uint64_t>(5, 15)), bench.clock.bootNow());
        }
        Failure failure;
        RouteExplainer explainer(bench.state, [&](const UpstreamEntry& upstream) { return bench.state.peekSource(upstream); });
        const char* database = *rc::gen::element("fresh", "shop");
        std::optional<RouteExplanation> answer = explainer.explain({ DatabaseId(database), RouteQuestion::Kind::Read }, failure);
        GatewayMetrics metrics;
        bench.state.updateMetrics(metrics);
        RC_ASSERT(metrics.render().find("u2") == std::string::npos);

        ReadRequirement requirement { bench.routes->find(DatabaseId(database)), bench.clock.bootNow(), std::nullopt, {} };
        std::optional<Target> target = bench.state.findReadTarget(requirement);
        RC_ASSERT(target.has_value() == answer->chosen.has_value());
        if (target)
            RC_ASSERT(target->source->getUpstream().id == *answer->chosen);
    });
    CHECK_TRUE(isSuccessful);
}

TEST(RouteExplanation, queryIsCheckedAndDecoded)
{
    Failure failure;
    std::optional<RouteQuestion> question = parseRouteQuestion("/explain-route?database=my%20shop&statement=begin-read&workspace=w1", failure);
    CHECK(question->database == DatabaseId("my shop"));
    CHECK(question->kind == RouteQuestion::Kind::BeginRead);
    CHECK(question->workspace == WorkspaceId("w1"));
    for (const char* wrong : { "/explain-route", "/explain-route?database=", "/explain-route?database=a&statement=drop", "/explain-route?database=a&database=b", "/explain-route?database=a&colour=b" }) {
        failure = Failure();
        CHECK_FALSE(parseRouteQuestion(wrong, failure).has_value());
        CHECK(failure.kind == Failure::Kind::InvalidInput);
    }
}

TEST(RouteExplanation, textNamesDecisionAndPenalties)
{
    bench.apply();
    bench.addProof(10);
    nlohmann::json document = toJson(bench.explain("shop", RouteQuestion::Kind::Read));
    document["instance"] = "front-1";
    std::string text = formatRoute(document);
    STRCMP_CONTAINS("read on shop at instance front-1 in zone z1", text.c_str());
    STRCMP_CONTAINS("decision: sent to u2", text.c_str());
    STRCMP_CONTAINS("estimate 16.0 ms = work 8.0 ms + other zone 8.0 ms", text.c_str());
    STRCMP_CONTAINS("* u2  replica, zone z1 (own)", text.c_str());
}
