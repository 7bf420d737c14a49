#include "../../src/fleet/MeteredFleetStore.h"
#include "../../src/gateway/AuditWriter.h"
#include "../../src/gateway/ListCodec.h"
#include "../../src/gateway/MemberDirectory.h"
#include "../../src/gateway/StateCodec.h"
#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/fleet/RelayedList.h"
#include "lentiljunction/fleet/Voters.h"
#include "lentiljunction/leadership/LeaseTracker.h"
#include "lentiljunction/leadership/TakeoverVote.h"
#include "lentiljunction/routes/RelayedRoutes.h"

#include <rapidcheck.h>

#include <future>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// Responds to every call immediately, with success or with the given failure.
class ScriptedStore : public FleetStore {
public:
    explicit ScriptedStore(Failure& storeFailure)
        : storeFailure(storeFailure)
    {
    }

    StoreEra getEra() const override { return this->era; }
    void readRoutes(Callback<VersionedRoutes> callback) override { this->respond(callback, VersionedRoutes()); }
    void watchRoutes(StoreVersion, Duration, Callback<VersionedRoutes> callback) override { this->respond(callback, VersionedRoutes()); }
    void listUpstreams(bool, Callback<std::shared_ptr<const UpstreamList>> callback) override { this->respond(callback, std::shared_ptr<const UpstreamList>()); }
    void readPrimaryRecord(Callback<VersionedPrimaryRecord> callback) override { this->respond(callback, VersionedPrimaryRecord()); }
    void writePrimaryRecord(const PrimaryRecord&, StoreVersion, Callback<VersionedPrimaryRecord> callback) override { this->respond(callback, VersionedPrimaryRecord()); }
    void registerMember(const FleetMember&, Callback<StoreEra> callback) override { this->respond(callback, StoreEra(1)); }
    void readMember(const InstanceId&, Callback<RegisteredMember> callback) override { this->respond(callback, RegisteredMember()); }
    void removeMember(const InstanceId&, StoreVersion, Callback<bool> callback) override { this->respond(callback, true); }
    void listMembers(bool, Callback<std::vector<FleetMember>> callback) override { this->respond(callback, std::vector<FleetMember>()); }
    void writeAudit(const std::string& key, const std::string& records, Callback<bool> callback) override
    {
        this->written.emplace_back(key, records);
        this->respond(callback, true);
    }
    void promote(const GroupId&, const UpstreamId&, const InstanceId&, FencingToken, std::function<bool()>, Callback<bool> callback) override { this->respond(callback, true); }

    std::vector<std::pair<std::string, std::string>> written;
    StoreEra era { 1 };

private:
    template <typename T>
    void respond(const Callback<T>& callback, T value)
    {
        if (this->storeFailure.kind == Failure::Kind::None)
            callback(std::move(value), Failure());
        else
            callback(std::nullopt, this->storeFailure);
    }

    Failure& storeFailure;
};

FleetMember makeMember(const std::string& id, std::uint16_t port)
{
    return { InstanceId(id), ZoneId("z"), { "10.0.0.1", port } };
}

} // namespace

TEST_GROUP(MeteredFleetStore)
{
    ManualClock clock;
    GatewayMetrics metrics;
    Failure storeFailure;
    MeteredFleetStore store { std::make_unique<ScriptedStore>(storeFailure), clock, metrics };

    void read()
    {
        store.readPrimaryRecord([](const std::optional<VersionedPrimaryRecord>&, const Failure&) {});
    }
};

TEST(MeteredFleetStore, countsCallsByOperationAndResult)
{
    read();
    storeFailure.set(Failure::Kind::Conflict, "another revision");
    store.writePrimaryRecord(PrimaryRecord(), StoreVersion(1), [](const std::optional<VersionedPrimaryRecord>& written, const Failure& failure) {
        CHECK_FALSE(written.has_value());
        CHECK(failure.kind == Failure::Kind::Conflict);
    });
    storeFailure.set(Failure::Kind::Unavailable, "no answer");
    read();
    store.promote(GroupId("g"), UpstreamId("u"), InstanceId("a"), FencingToken(1), nullptr, [](const std::optional<bool>&, const Failure&) {});
    std::string page = metrics.render();
    for (const char* line : { "operation=\"read_lead\",result=\"done\"} 1", "operation=\"write_lead\",result=\"refused\"} 1", "operation=\"read_lead\",result=\"unanswered\"} 1", "operation=\"promote\",result=\"unanswered\"} 1" })
        STRCMP_CONTAINS(line, page.c_str());
}

TEST_GROUP(GatewayMetrics)
{
    GatewayMetrics metrics;
};

TEST(GatewayMetrics, countsStatementByLabelsAndFailureByCause)
{
    GatewayMetrics::Statement statement { "primary", Rank::Urgent, "busy", "u1", "no_primary", false, 2, std::chrono::milliseconds(3) };
    metrics.onStatement(statement);
    std::string page = metrics.render();
    STRCMP_CONTAINS("lentiljunction_statements_total{code=\"busy\",kind=\"primary\",rank=\"urgent\",upstream=\"u1\"} 1", page.c_str());
    STRCMP_CONTAINS("lentiljunction_statement_failures_total{cause=\"no_primary\",rank=\"urgent\"} 1", page.c_str());
    STRCMP_CONTAINS("lentiljunction_retries_total 2", page.c_str());
    STRCMP_CONTAINS("lentiljunction_statement_seconds_count{kind=\"primary\",rank=\"urgent\"} 1", page.c_str());
}

// Guards against acknowledgements, verifications and promotion calls that are in doubt and that only a log tells of.
TEST(GatewayMetrics, countsAcknowledgedWritesVerificationsAndPromotionCalls)
{
    GatewayMetrics::Statement statement { "primary", Rank::Urgent, "success", "u1", "none", true, 0, std::chrono::milliseconds(3), "lease" };
    metrics.onStatement(statement);
    statement.basis.clear();
    metrics.onStatement(statement);
    metrics.setVerifications({ { GroupId("g"), { 5, 2 } } });
    GatewayMetrics::KnownState state;
    state.numPromotionCalls = { { "no_response", 3 } };
    metrics.setKnownState(state);
    std::string page = metrics.render();
    STRCMP_CONTAINS("lentiljunction_acknowledged_writes_total{basis=\"lease\"} 1", page.c_str());
    STRCMP_CONTAINS("lentiljunction_primary_verifications{group=\"g\",result=\"failed\"} 2", page.c_str());
    STRCMP_CONTAINS("lentiljunction_primary_verifications{group=\"g\",result=\"passed\"} 5", page.c_str());
    STRCMP_CONTAINS("lentiljunction_promotion_calls{outcome=\"no_response\"} 3", page.c_str());
}

TEST(GatewayMetrics, removesMetricsOfRemovedUpstream)
{
    GatewayMetrics::Upstream upstream;
    upstream.id = "u1";
    upstream.group = "g";
    upstream.numWaiting = 4;
    metrics.setUpstreams({ upstream });
    STRCMP_CONTAINS("lentiljunction_upstream_waiting{group=\"g\",upstream=\"u1\",zone=\"other\"} 4", metrics.render().c_str());
    metrics.setUpstreams({});
    CHECK(metrics.render().find("u1") == std::string::npos);
}

TEST_GROUP(MemberDirectory)
{
    ManualClock clock;
    MemberDirectory members;

    void setup() override { members.setMembers({ makeMember("a", 1), makeMember("b", 2), makeMember("c", 3) }, BootTime()); }
};

TEST(MemberDirectory, countsRetiredInstanceAsGoneOnlyAfterItsLease)
{
    members.updateRetired({ InstanceId("b") }, clock.bootNow());
    CHECK_EQUAL(2, members.listActive(BootTime()).size());
    CHECK_FALSE(members.isRetiredPastLease(InstanceId("b"), clock.bootNow()));
    clock.advance(leaseDuration + leaseMargin);
    CHECK_TRUE(members.isRetiredPastLease(InstanceId("b"), clock.bootNow()));
    // Reports of a retired instance keep the time of the first one. A return to service clears it.
    members.updateRetired({ InstanceId("b") }, clock.bootNow());
    CHECK_TRUE(members.isRetiredPastLease(InstanceId("b"), clock.bootNow()));
    members.updateRetired({}, clock.bootNow());
    CHECK_FALSE(members.isRetiredPastLease(InstanceId("b"), clock.bootNow()));
    CHECK_EQUAL(3, members.listActive(BootTime()).size());
}

// Guards against a majority that is asked of instances that have left (review case 8), and against shares that grow while an
// instance is restarted, so that it finds no connection left.
TEST(MemberDirectory, instanceThatLeftIsNotActiveAndKeepsItsShareForSomeTime)
{
    members.setMembers({ makeMember("a", 1), makeMember("b", 2) }, BootTime());
    LONGS_EQUAL(2, members.listActive(BootTime()).size());
    LONGS_EQUAL(3, members.getSize(BootTime()));
    LONGS_EQUAL(3, members.listForTraffic(BootTime()).size());
    LONGS_EQUAL(2, members.getSize(BootTime(std::chrono::seconds(60))));
    LONGS_EQUAL(2, members.listForTraffic(BootTime(std::chrono::seconds(60))).size());
    members.setMembers({ makeMember("a", 1), makeMember("b", 2), makeMember("c", 3) }, BootTime(std::chrono::seconds(5)));
    LONGS_EQUAL(3, members.getSize(BootTime(std::chrono::seconds(5))));
}

TEST(MemberDirectory, listsAllOtherInstances)
{
    std::vector<Endpoint> others = members.listOthers(InstanceId("a"));
    CHECK_EQUAL(2, others.size());
    CHECK_EQUAL(2, others.front().port);
    CHECK_TRUE(members.find(InstanceId("c")).has_value());
    CHECK_FALSE(members.find(InstanceId("d")).has_value());
}

TEST_GROUP(RelayedFreshness)
{
    ManualClock clock;
    RelayedFreshness relayedFreshness;
};

TEST(RelayedFreshness, countsReportedAgeFromSendingOfRequest)
{
    CHECK_FALSE(relayedFreshness.isFresh(clock.bootNow()));
    BootTime requestedAt = clock.bootNow();
    clock.advance(std::chrono::milliseconds(400));
    relayedFreshness.onFreshness({ BundleVersion(3), std::chrono::milliseconds(2000) }, requestedAt);
    CHECK_TRUE(relayedFreshness.isFresh(clock.bootNow()));
    clock.advance(std::chrono::milliseconds(101));
    CHECK_FALSE(relayedFreshness.isFresh(clock.bootNow()));
    CHECK(*relayedFreshness.getExpiry() <= clock.bootNow());
}

// The queried instance may itself have lost the store: the age that it reports grows, so its responses must not
// make this instance's configuration count as fresh.
TEST(RelayedFreshness, expiresWhenOtherInstanceLosesStore)
{
    relayedFreshness.onFreshness({ BundleVersion(3), Duration(0) }, clock.bootNow());
    BootTime confirmed = clock.bootNow();
    for (int query = 0; query < 10; query++) {
        clock.advance(std::chrono::milliseconds(400));
        relayedFreshness.onFreshness({ BundleVersion(3), std::chrono::duration_cast<Duration>(clock.bootNow() - confirmed) }, clock.bootNow());
    }
    CHECK_FALSE(relayedFreshness.isFresh(clock.bootNow()));
}

TEST_GROUP(RelayedRoutes) {};

TEST(RelayedRoutes, decodesEncodedTableUnchanged)
{
    bool isEqual = rc::check("any table", [] {
        RouteTable table;
        table.version = BundleVersion(*rc::gen::inRange<std::uint64_t>(0, 1000000));
        table.transactionIdleLimit = Duration(*rc::gen::inRange<std::int64_t>(0, 100000000));
        for (int index = 0; index < *rc::gen::inRange(0, 5); index++) {
            Route route { DatabaseId("d" + std::to_string(index)), GroupId("g" + std::to_string(index % 2)), static_cast<Consistency>(*rc::gen::inRange(0, 3)), allRanks[static_cast<std::size_t>(*rc::gen::inRange(0, 3))], Duration(*rc::gen::inRange(0, 9000000)), Duration(*rc::gen::inRange(0, 9000000)), Duration(*rc::gen::inRange(0, 9000000)) };
            table.routes[route.database] = route;
            table.routes[route.database].isPublic = *rc::gen::arbitrary<bool>();
            table.groups[route.group].maximumConnections = *rc::gen::inRange(1, 100);
        }
        int numWorkspaces = *rc::gen::inRange(-1, 4);
        if (numWorkspaces >= 0)
            table.workspaces.emplace();
        for (int index = 0; index < numWorkspaces; index++) {
            WorkspaceConfig workspace { WorkspaceId("w" + std::to_string(index)), { computeKeyDigest(std::to_string(index)), computeKeyDigest("k" + std::to_string(index)) } };
            if (*rc::gen::arbitrary<bool>())
                workspace.ratePerSecond = *rc::gen::inRange(0, 1000) / 8.0;
            if (*rc::gen::arbitrary<bool>())
                workspace.burst = *rc::gen::inRange(0, 1000);
            table.workspaces->add(workspace);
        }
        Failure failure;
        nlohmann::json sent = nlohmann::json::from_cbor(nlohmann::json::to_cbor(encodeRelayedRoutes(table)));
        std::optional<RouteTable> read = decodeRelayedRoutes(sent, failure);
        RC_ASSERT(read.has_value());
        RC_ASSERT(encodeRelayedRoutes(*read) == encodeRelayedRoutes(table));
        RC_ASSERT(read->workspaces.has_value() == table.workspaces.has_value());
    });
    CHECK_TRUE(isEqual);
}

TEST(RelayedRoutes, namesAllFaultsOfMalformedInput)
{
    Failure failure;
    CHECK_FALSE(decodeRelayedRoutes(nlohmann::json::parse(R"({"version":"x","routes":[{"rank":9}],"groups":{"g":-1}})"), failure).has_value());
    for (const char* part : { "version", "routes[0].rank", "routes[0].database", "groups.g", "idle_limit_us" })
        STRCMP_CONTAINS(part, failure.reason.c_str());
    for (const char* text : { "null", "[]", "{\"routes\":7}", "{\"routes\":{\"version\":-1,\"age_us\":1}}" })
        CHECK_FALSE_TEXT(decodeRouteFreshness(nlohmann::json::parse(text)).has_value(), text);
    CHECK_EQUAL(4, decodeRouteFreshness({ { "routes", encodeRouteFreshness({ BundleVersion(4), Duration(7) }) } })->version.value());
}

TEST_GROUP(AuditWriter) {};

TEST(AuditWriter, retriesRecordUntilStoreAcceptsIt)
{
    SystemClock clock;
    EventLoop loop;
    Failure storeFailure;
    storeFailure.set(Failure::Kind::Unavailable, "no answer");
    ScriptedStore store(storeFailure);
    AuditWriter writer(loop, clock, store, InstanceId("a"));
    std::promise<void> isWritten;
    std::function<void()> watch = [&] {
        bool wasAttempted = !store.written.empty();
        if (wasAttempted && storeFailure.kind == Failure::Kind::None && store.written.size() > 1)
            return isWritten.set_value();
        if (wasAttempted)
            storeFailure = Failure();
        loop.schedule(std::chrono::milliseconds(20), watch);
    };
    loop.start();
    loop.post([&] {
        AuditRecord record;
        record.kind = AuditKind::Promotion;
        record.subject = "g";
        writer.add(record);
        watch();
    });
    CHECK(isWritten.get_future().wait_for(std::chrono::seconds(30)) == std::future_status::ready);
    loop.stop();
    // The retry uses the same key and records, so that a write whose response was lost is not duplicated.
    STRCMP_EQUAL(store.written[0].first.c_str(), store.written[1].first.c_str());
    STRCMP_EQUAL(store.written[0].second.c_str(), store.written[1].second.c_str());
    STRCMP_CONTAINS("\"kind\":\"promotion\"", store.written[0].second.c_str());
}

// A restored store loses records that it had acknowledged.
TEST(AuditWriter, writesLastRecordsAgainToRestoredStore)
{
    SystemClock clock;
    EventLoop loop;
    Failure storeFailure;
    ScriptedStore store(storeFailure);
    AuditWriter writer(loop, clock, store, InstanceId("a"));
    std::promise<void> isWritten;
    std::function<void()> watch = [&] {
        if (!store.written.empty())
            return isWritten.set_value();
        loop.schedule(std::chrono::milliseconds(20), watch);
    };
    loop.start();
    loop.post([&] {
        writer.rewriteInNewEra();
        AuditRecord record;
        record.subject = "g";
        writer.add(record);
        watch();
    });
    CHECK(isWritten.get_future().wait_for(std::chrono::seconds(30)) == std::future_status::ready);
    loop.stop();
    writer.rewriteInNewEra();
    CHECK_EQUAL(1, store.written.size());
    store.era = StoreEra(2);
    writer.rewriteInNewEra();
    CHECK_EQUAL(2, store.written.size());
    STRCMP_EQUAL(store.written[0].first.c_str(), store.written[1].first.c_str());
    STRCMP_EQUAL(store.written[0].second.c_str(), store.written[1].second.c_str());
}

TEST_GROUP(RelayedList) {};

// The zone reader loses the store. Guards against relying on what it read long ago, also through a third instance.
TEST(RelayedList, expiresWhenReaderLosesStore)
{
    ManualClock clock;
    RelayedList reader { std::chrono::milliseconds(2500) };
    RelayedList second { std::chrono::milliseconds(2500) };
    RelayedList third { std::chrono::milliseconds(2500) };
    reader.onListed(7, clock.bootNow());
    second.onReceived(7);
    third.onReceived(7);
    for (int count = 0; count < 10; count++) {
        CHECK_TRUE(second.onReported(reader.getVersion(), *reader.getAge(clock.bootNow()), clock.bootNow()));
        CHECK_TRUE(third.onReported(second.getVersion(), *second.getAge(clock.bootNow()), clock.bootNow()));
        bool isRecent = count < 7;
        CHECK_EQUAL(isRecent, second.isRelayed(clock.bootNow()));
        CHECK_EQUAL(isRecent, third.isRelayed(clock.bootNow()));
        clock.advance(std::chrono::milliseconds(400));
    }
}

// Guards against an instance that keeps an old list because the report of a newer version counts as confirmation.
TEST(RelayedList, newerVersionDoesNotConfirmOldList)
{
    ManualClock clock;
    RelayedList list { std::chrono::milliseconds(2500) };
    CHECK_FALSE(list.onReported(7, Duration(0), clock.bootNow()));
    list.onReceived(7);
    CHECK_FALSE(list.isRelayed(clock.bootNow()));
    CHECK_TRUE(list.onReported(7, Duration(0), clock.bootNow()));
    CHECK_TRUE(list.isRelayed(clock.bootNow()));
    clock.advance(std::chrono::seconds(3));
    CHECK_FALSE(list.onReported(8, Duration(0), clock.bootNow()));
    CHECK_FALSE(list.isRelayed(clock.bootNow()));
}

// An instance's own list from the store is no report of another instance: all instances of a zone would stop listing.
TEST(RelayedList, ownListDoesNotCountAsRelayed)
{
    ManualClock clock;
    RelayedList list { std::chrono::milliseconds(2500) };
    list.onListed(7, clock.bootNow());
    CHECK_FALSE(list.isRelayed(clock.bootNow()));
    CHECK(list.getAge(clock.bootNow()) == Duration(0));
}

TEST_GROUP(ListCodec) {};

TEST(ListCodec, encodesListsAndRefusesMalformedOnes)
{
    UpstreamList upstreams;
    UpstreamEntry entry;
    entry.id = UpstreamId("u1");
    entry.group = GroupId("g1");
    entry.endpoint = { "10.0.0.1", 7000 };
    entry.zone = ZoneId("z1");
    entry.slots = 4;
    entry.isLeaving = true;
    entry.claimsPrimary = true;
    upstreams.entries.emplace(entry.id, entry);
    upstreams.entries.begin()->second.startedAt = WallTime(std::chrono::milliseconds(1790000000000));
    nlohmann::json encoded = encodeUpstreamList(upstreams);
    std::optional<UpstreamList> decoded = decodeUpstreamList(encoded);
    CHECK(decoded.has_value());
    const UpstreamEntry& copy = decoded->entries.at(UpstreamId("u1"));
    CHECK(copy.group == entry.group && copy.endpoint == entry.endpoint && copy.zone == entry.zone);
    CHECK(copy.slots == 4 && copy.isLeaving && copy.claimsPrimary);

    std::vector<FleetMember> members { { InstanceId("i1"), ZoneId("z1"), { "10.0.0.2", 7001 }, Endpoint { "10.0.0.2", 7002 } }, { InstanceId("i2"), ZoneId("z1"), { "10.0.0.3", 7001 }, std::nullopt } };
    members.front().quota = Endpoint { "10.0.0.2", 7003 };
    std::optional<std::vector<FleetMember>> list = decodeMemberList(encodeMemberList(members));
    CHECK(list.has_value());
    CHECK_EQUAL(2, list->size());
    CHECK(list->front().lending == members.front().lending);
    CHECK_FALSE(list->back().lending.has_value());
    CHECK(list->front().quota == members.front().quota && !list->back().quota);

    for (const char* field : { "id", "group", "endpoint", "zone", "slots", "leaving", "claims_primary" }) {
        nlohmann::json malformed = encoded;
        malformed[0][field] = nlohmann::json::object();
        CHECK_FALSE(decodeUpstreamList(malformed).has_value());
        malformed[0].erase(field);
        CHECK_FALSE(decodeUpstreamList(malformed).has_value());
    }
    CHECK_FALSE(decodeUpstreamList(7).has_value());
    CHECK_FALSE(decodeMemberList({ { { "id", "i1" }, { "zone", "z" }, { "peers", { "h", 70000 } } } }).has_value());
}

TEST_GROUP(Backoff) {};

// The store refuses hundreds of instances for seconds. Guards against retries that keep it busy, and against a delay
// that stays long after it responds again.
TEST(Backoff, growsToLongestDelayAndStartsAgainAfterSuccess)
{
    Backoff backoff(std::chrono::milliseconds(200), std::chrono::milliseconds(1600));
    for (int expected : { 200, 400, 800, 1600, 1600 })
        CHECK(backoff.onFailure() == std::chrono::milliseconds(expected));
    backoff.onSuccess();
    CHECK(backoff.onFailure() == std::chrono::milliseconds(200));
}

TEST_GROUP(Voters) {};

// A zone of a large fleet is cut off, with a sixth of the instances. Guards against one of them that takes over because
// its sample happens to lie in its own zone, and against an instance outside that cannot win.
TEST(Voters, partitionedZoneWinsNoVoteByItsSample)
{
    std::vector<FleetMember> fleet;
    for (int index = 0; index < 295; index++)
        fleet.push_back({ InstanceId("front-" + std::to_string(index)), ZoneId("z" + std::to_string(index % 6)), { "10.0.0.1", 1 } });
    for (const FleetMember& member : fleet) {
        std::vector<FleetMember> voters = chooseVoters(fleet, member.id);
        CHECK(voters.size() < 100);
        TakeoverVote vote(voters.size() + 1);
        for (const FleetMember& voter : voters) {
            bool isReachable = (voter.zone == ZoneId("z0")) == (member.zone == ZoneId("z0"));
            if (isReachable)
                vote.addVote(true);
        }
        CHECK_EQUAL(member.zone != ZoneId("z0"), vote.isWon());
    }
}

TEST(Voters, smallFleetAsksAllOthers)
{
    std::vector<FleetMember> fleet;
    for (int index = 0; index < 75; index++)
        fleet.push_back({ InstanceId("front-" + std::to_string(index)), ZoneId("z"), { "10.0.0.1", 1 } });
    CHECK_EQUAL(74, chooseVoters(fleet, fleet.front().id).size());
}

TEST_GROUP(StateCodec) {};

// The primary record of all groups was sent to every instance of a zone every 0.4 s, also when it had not changed.
TEST(StateCodec, recordIsSentOnlyToInstancesThatLackIt)
{
    VersionedPrimaryRecord latest { std::make_shared<PrimaryRecord>(), StoreVersion(8), StoreEra() };
    VersionedPrimaryRecord older { std::make_shared<PrimaryRecord>(), StoreVersion(7), StoreEra() };
    for (const VersionedPrimaryRecord& had : { VersionedPrimaryRecord(), older, latest }) {
        nlohmann::json request = nlohmann::json::object();
        encodeRecordRequest(had, request);
        nlohmann::json response = nlohmann::json::object();
        encodeRecordResponse(latest, parseCbor(toCbor(request)), response);
        CHECK_EQUAL(had.revision != latest.revision, response.contains("record"));
        Failure failure;
        std::optional<VersionedPrimaryRecord> received = decodeRecordResponse(parseCbor(toCbor(response)), had, failure);
        CHECK_TRUE(received.has_value());
        CHECK(received->revision == latest.revision);
        // The version alone tells nothing to an instance that has another record by now.
        if (had.revision == latest.revision)
            CHECK_FALSE(decodeRecordResponse(response, older, failure).has_value());
    }
}
