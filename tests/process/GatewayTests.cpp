#include "../../src/net/WebSocketClient.h"
#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace lentiljunction;
using lab::contains;
using lab::isServed;
using lab::LineCaller;

namespace {

/// Connects to an instance like another instance, and sends malformed messages.
class MalformedPeer : public WebSocketClient::Listener {
public:
    explicit MalformedPeer(const Endpoint& endpoint)
        : client(this->loop, *this)
    {
        this->loop.start();
        this->loop.post([this, endpoint] { this->client.connect(endpoint, "/peer"); });
    }

    ~MalformedPeer() override { this->loop.stop(); }

    void onConnected(WebSocketClient::Handle handle) override
    {
        const std::vector<nlohmann::json> bodies { 7, "text", nlohmann::json::array(), { { "ask", 7 } }, { { "ask", "take_lead" }, { "record", 1 } }, { { "ask", "suspect" }, { "group", 7 }, { "is_leaving", "yes" } }, { { "ask", "opinion" }, { "group", nlohmann::json::array() } }, { { "ask", "newer_term" }, { "group", "ledger" }, { "term", "many" } }, { { "ask", "newer_term" }, { "term", -1 } } };
        std::uint64_t number = 1;
        for (const nlohmann::json& body : bodies) {
            std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor({ { "number", number++ }, { "body", body } });
            this->client.send(handle, std::string(bytes.begin(), bytes.end()), true);
        }
        this->client.send(handle, "no cbor at all", true);
        // An array that declares more elements than fit into memory.
        this->client.send(handle, "\x9b\x6a\x6b\x6c\x6d\x6e\x6f\x70\x71", true);
        this->isSent = true;
    }

    void onMessage(WebSocketClient::Handle, const std::string&) override { }
    void onDisconnected(WebSocketClient::Handle) override { }

    std::atomic<bool> isSent { false };

private:
    EventLoop loop;
    WebSocketClient client;
};

} // namespace

TEST_GROUP(Gateway) {};

TEST(Gateway, sessionReadsItsOwnWritesOnEveryRoute)
{
    GatewayFixture fixture;
    fixture.configure(2, { "bookings", "checks" });
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    CHECK_TRUE(fixture.waitUntilServed("checks"));
    for (const char* database : { "bookings", "checks" }) {
        LineCaller caller(fixture.getPort(0), database);
        for (int index = 0; index < 50; index++) {
            std::string item = std::string(database) + std::to_string(index);
            CHECK_TRUE(isServed(caller.execute("WRITE " + item + " value " + std::to_string(index))));
            STRCMP_CONTAINS(("ROW value " + std::to_string(index)).c_str(), caller.execute("READ " + item).c_str());
        }
    }
}

TEST(Gateway, transactionIsAtomic)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    LineCaller caller(fixture.getPort(0), "bookings");
    STRCMP_EQUAL("DONE -|READY T -", caller.execute("BEGIN").c_str());
    CHECK_TRUE(isServed(caller.execute("WRITE a 1")));
    CHECK_TRUE(isServed(caller.execute("WRITE b 2")));
    STRCMP_CONTAINS("READY I", caller.execute("COMMIT").c_str());
    STRCMP_EQUAL("DONE -|READY T -", caller.execute("BEGIN").c_str());
    CHECK_TRUE(isServed(caller.execute("WRITE c 3")));
    STRCMP_EQUAL("DONE -|READY I -", caller.execute("ROLLBACK").c_str());
    CHECK_EQUAL(1, fixture.getGroup().countCommits("a"));
    CHECK_EQUAL(1, fixture.getGroup().countCommits("b"));
    CHECK_EQUAL(0, fixture.getGroup().countCommits("c"));
    STRCMP_CONTAINS("ROW -", caller.execute("READ c").c_str());
}

// Both replicas lag, and a transaction begins. Guards against a BEGIN that is sent to the same replica again and again
// until the statement's deadline, although the primary could run the transaction.
TEST(Gateway, transactionLeavesLaggingReplicaAfterOneRefusal)
{
    constexpr std::size_t numTransactions = 5;
    constexpr std::size_t numReplicas = 2;
    GatewayFixture fixture(1);
    fixture.configure(2, { "checks" });
    CHECK_TRUE(fixture.waitUntilServed("checks"));
    fixture.getGroup().setIsolated("u2", true);
    fixture.getGroup().setIsolated("u3", true);
    LineCaller caller(fixture.getPort(0), "checks");
    for (std::size_t index = 0; index < numTransactions; index++) {
        std::string value = std::to_string(index);
        CHECK_TRUE(isServed(caller.execute("WRITE item " + value)));
        STRCMP_EQUAL("DONE -|READY T -", caller.execute("BEGIN READ").c_str());
        STRCMP_CONTAINS(("ROW " + value).c_str(), caller.execute("READ item").c_str());
        STRCMP_CONTAINS("READY I", caller.execute("COMMIT").c_str());
    }
    CHECK(fixture.getGroup().countBehindReplies() <= numTransactions * numReplicas);
}

TEST(Gateway, sessionKeepsValuesAndPreparedStatements)
{
    GatewayFixture fixture(1);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    LineCaller first(fixture.getPort(0), "bookings");
    LineCaller second(fixture.getPort(0), "bookings");
    STRCMP_EQUAL("DONE -|READY I -", first.execute("SET tz utc").c_str());
    STRCMP_EQUAL("DONE -|READY I -", first.execute("PREPARE s1 WRITE q1").c_str());
    STRCMP_EQUAL("DONE -|READY I -", second.execute("PREPARE s1 READ q2").c_str());
    CHECK_TRUE(isServed(first.execute("EXEC s1 item hello there")));
    STRCMP_CONTAINS("ROW hello there", second.execute("EXEC s1 item").c_str());
    STRCMP_EQUAL("DONE -|READY I -", second.execute("DEALLOC s1").c_str());
    STRCMP_CONTAINS("ERR NOSUCHSTMT", second.execute("EXEC s1 item").c_str());
}

TEST(Gateway, malformedInputGetsErrorAndServiceContinues)
{
    GatewayFixture fixture(1);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    LineCaller caller(fixture.getPort(0), "bookings");
    for (const char* text : { "", "FROB", "READ", "WRITE x", "COMMIT", "ROLLBACK", "PREPARE s READ", "WAITLSN 1.2 READ a", "BEGIN TWICE" })
        STRCMP_CONTAINS("ERR MALFORMED", caller.execute(text).c_str());
    CHECK_TRUE(isServed(caller.execute("READ a")));
    STRCMP_CONTAINS("ERR NODB", LineCaller(fixture.getPort(0), "nowhere").getStartupResponse().c_str());
    STRCMP_CONTAINS("ERR MALFORMED", LineCaller(fixture.getPort(0), "bookings").sendRaw("HELLO\r\n").c_str());
    STRCMP_CONTAINS("ERR MALFORMED", LineCaller(fixture.getPort(0), "bookings").sendRaw(std::string((1U << 20) + 10, 'x')).c_str());
    CHECK_TRUE(isServed(caller.execute("READ a")));
}

TEST(Gateway, crashedPrimaryIsReplacedAndNoWriteRunsTwice)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getGroup().crash("u1");
    LineCaller caller(fixture.getPort(0), "bookings");
    int numInDoubt = 0;
    std::set<std::string> acknowledged;
    int next = 0;
    CHECK_TRUE(waitUntil([&] {
        std::string item = "w" + std::to_string(next++);
        std::string answer = caller.execute("WRITE " + item + " v");
        if (isServed(answer))
            acknowledged.insert(item);
        numInDoubt += contains(answer, "INDOUBT") ? 1 : 0;
        return acknowledged.size() >= 20;
    }));
    CHECK(fixture.getGroup().findPrimary() != "u1");
    for (const std::string& item : acknowledged)
        CHECK_EQUAL(1, fixture.getGroup().countCommits(item));
}

TEST(Gateway, failoverIsRecordedInAuditTrail)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { return !fixture.getStore().list("lentiljunction-audit").empty(); }));
    nlohmann::json record = fixture.getStore().list("lentiljunction-audit").front()["records"][0];
    STRCMP_EQUAL("promotion", record.value("kind", "").c_str());
    STRCMP_EQUAL(fixture.getGroup().getName().c_str(), record.value("subject", "").c_str());
    STRCMP_EQUAL("u1", record.value("before", "").c_str());
    STRCMP_CONTAINS(fixture.getGroup().findPrimary().c_str(), record.value("after", "").c_str());
    STRCMP_CONTAINS("front-", record.value("actor", "").c_str());
}

TEST(Gateway, metricsPageShowsStatementsKnownStateUpstreamsAndStoreCalls)
{
    GatewayFixture fixture(1);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    LineCaller caller(fixture.getPort(0), "bookings");
    CHECK_TRUE(isServed(caller.execute("WRITE m v")));
    STRCMP_CONTAINS("ERR", caller.execute("COMMIT").c_str());
    std::string page = fixture.readMetrics(0);
    for (const char* line : { "lentiljunction_statements_total{code=\"success\",kind=\"primary\",rank=\"urgent\",upstream=\"u1\"}", "lentiljunction_statement_failures_total{cause=\"not_allowed\"", "lentiljunction_belief{fact=\"holds_duty\"} 1", "lentiljunction_belief{fact=\"permit_seconds\"}", "lentiljunction_upstream_connections{group=", "lentiljunction_upstream_lag_positions{", "lentiljunction_proof_age_seconds{", "lentiljunction_store_calls_total{operation=\"write_lead\",result=\"done\"}", "lentiljunction_statement_seconds_bucket{" })
        STRCMP_CONTAINS(line, page.c_str());
}

TEST(Gateway, leavingPrimaryIsReplaced)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findPrimary() != "u1"; }));
    LineCaller caller(fixture.getPort(1), "bookings");
    CHECK_TRUE(waitUntil([&] { return isServed(caller.execute("WRITE after v")); }));
}

TEST(Gateway, writesContinueWhileStoreIsUnreachable)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getStore().setFault(standin::PlatformStore::Fault::Silent);
    // Longer than a lease, so the last writes depend on verification of the primary through the upstreams.
    TimePoint end = SystemClock().now() + leaseDuration + std::chrono::seconds(2);
    LineCaller caller(fixture.getPort(0), "bookings");
    int numServed = 0;
    std::string last;
    for (int index = 0; SystemClock().now() < end; index++) {
        last = caller.execute("WRITE s" + std::to_string(index) + " v");
        numServed += isServed(last) ? 1 : 0;
    }
    CHECK_TRUE(isServed(last));
    CHECK(numServed > 50);
    fixture.getStore().setFault(standin::PlatformStore::Fault::None);
    CHECK_TRUE(isServed(caller.execute("READ s1")));
}

TEST(Gateway, lostCommitResponseIsInDoubtAndNotRepeated)
{
    GatewayFixture fixture(1);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getGroup().setFault("u1", standin::LineUpstream::Fault::DropsResponses);
    LineCaller caller(fixture.getPort(0), "bookings");
    STRCMP_CONTAINS("ERR INDOUBT", caller.execute("WRITE once v").c_str());
    CHECK_EQUAL(1, fixture.getGroup().countCommits("once"));
}

TEST(Gateway, requestToBusyUpstreamFailsAfterRetries)
{
    GatewayFixture fixture(1);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getGroup().setFault("u1", standin::LineUpstream::Fault::Busy);
    LineCaller caller(fixture.getPort(0), "bookings");
    STRCMP_CONTAINS("ERR BUSY", caller.execute("WRITE x v").c_str());
    CHECK_EQUAL(0, fixture.getGroup().countCommits("x"));
    fixture.getGroup().setFault("u1", standin::LineUpstream::Fault::None);
    CHECK_TRUE(isServed(caller.execute("WRITE x v")));
}

// Guards against a change of answers in deployments that do not eject upstreams.
TEST(Gateway, errorOfReadIsPassedOnUnlessUpstreamsAreEjected)
{
    GatewayFixture fixture(1);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    for (const char* upstream : { "u1", "u2", "u3" })
        fixture.getGroup().setFault(upstream, standin::LineUpstream::Fault::FailsReads);
    STRCMP_CONTAINS("ERR FAILED", LineCaller(fixture.getPort(0), "bookings").execute("READ x").c_str());
    CHECK_FALSE(contains(fixture.readMetrics(0), "lentiljunction_upstream_capacity{"));
}

TEST(Gateway, drainCompletesStatementsAndTransactions)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    LineCaller caller(fixture.getPort(0), "bookings");
    CHECK_TRUE(isServed(caller.execute("WRITE a 1")));
    std::thread draining([&] { fixture.drain(0); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    STRCMP_CONTAINS("READY T", caller.execute("BEGIN").c_str());
    CHECK_TRUE(isServed(caller.execute("WRITE b 1")));
    STRCMP_CONTAINS("READY I", caller.execute("COMMIT").c_str());
    draining.join();
    CHECK_EQUAL(1, fixture.getGroup().countCommits("b"));
    CHECK_TRUE(isServed(LineCaller(fixture.getPort(1), "bookings").execute("READ b")));
}

TEST(Gateway, transactionStaysOnItsConnectionWhenLeaseExpires)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    LineCaller caller(fixture.getPort(0), "bookings");
    STRCMP_CONTAINS("READY T", caller.execute("BEGIN").c_str());
    CHECK_TRUE(isServed(caller.execute("WRITE a 1")));
    fixture.getStore().setFault(standin::PlatformStore::Fault::Silent);
    // Long enough for the lease to expire and for the primary to be verified through the upstreams.
    std::this_thread::sleep_for(leaseDuration + std::chrono::milliseconds(1200));
    // From now on the verification fails as well, since u3 does not answer on its open connections.
    fixture.getGroup().setFault("u3", standin::LineUpstream::Fault::Silent);
    std::string answer = caller.execute("WRITE b 1");
    CHECK_TRUE(isServed(answer));
    STRCMP_CONTAINS("READY T", answer.c_str());
    STRCMP_CONTAINS("ERR INDOUBT", caller.execute("COMMIT").c_str());
}

// Without the store, the primary cannot be verified when an upstream does not respond. The caller must get the
// in-doubt error immediately instead of at the end of the statement timeout, and later writes must not be sent.
TEST(Gateway, unverifiedWriteIsReportedInDoubtWithoutDelay)
{
    constexpr std::chrono::milliseconds routeTime { 1500 };
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    LineCaller caller(fixture.getPort(0), "bookings");
    fixture.getStore().setFault(standin::PlatformStore::Fault::Silent);
    TimePoint end = SystemClock().now() + leaseDuration + std::chrono::milliseconds(1200);
    while (SystemClock().now() < end)
        caller.execute("WRITE before v");
    CHECK_TRUE(isServed(caller.execute("WRITE before v")));

    fixture.getGroup().setFault("u3", standin::LineUpstream::Fault::Silent);
    TimePoint began = SystemClock().now();
    STRCMP_CONTAINS("ERR INDOUBT", caller.execute("WRITE unproved v").c_str());
    CHECK(SystemClock().now() - began < routeTime / 2);
    std::string last;
    CHECK_TRUE(waitUntil([&] {
        last = caller.execute("WRITE later v");
        return last.find("ERR BUSY") != std::string::npos;
    }));
    CHECK(SystemClock().now() - began < routeTime);
}

TEST(Gateway, instanceRejectedByStoreUsesLeaseOfPeers)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    // The primary cannot be verified either, so only the lease of another instance is left. The last instance
    // knows the others as seeds.
    constexpr std::size_t refused = 2;
    fixture.getStore().setPortFault(refused, standin::PlatformStore::Fault::Unavailable);
    fixture.getGroup().crash("u3");
    TimePoint end = SystemClock().now() + leaseDuration + std::chrono::seconds(2);
    LineCaller caller(fixture.getPort(refused), "bookings");
    std::string last;
    for (int index = 0; SystemClock().now() < end; index++) {
        last = caller.execute("WRITE p" + std::to_string(index) + " v");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK_TRUE(isServed(last));
}

TEST(Gateway, malformedPeerMessagesAreIgnored)
{
    GatewayFixture fixture(1);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    MalformedPeer peer(fixture.getPeerEndpoint(0));
    CHECK_TRUE(waitUntil([&] { return peer.isSent.load(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK_TRUE(isServed(LineCaller(fixture.getPort(0), "bookings").execute("WRITE still here")));
}

TEST(Gateway, failoverCompletesDespiteLateStoreWrites)
{
    GatewayFixture fixture(3);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getStore().setFault(standin::PlatformStore::Fault::LateWrites);
    fixture.getGroup().crash("u1");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    fixture.getStore().setFault(standin::PlatformStore::Fault::None);
    LineCaller caller(fixture.getPort(0), "bookings");
    std::set<std::string> acknowledged;
    int next = 0;
    CHECK_TRUE(waitUntil([&] {
        std::string item = "l" + std::to_string(next++);
        if (isServed(caller.execute("WRITE " + item + " v")))
            acknowledged.insert(item);
        return acknowledged.size() >= 10;
    }));
    for (const std::string& item : acknowledged)
        CHECK_EQUAL(1, fixture.getGroup().countCommits(item));
}

TEST(Gateway, overloadIsServedOrRefusedWithCorrectOutcome)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getGroup().setServiceTime(std::chrono::milliseconds(5));
    std::vector<std::thread> callers;
    std::mutex mutex;
    std::map<std::string, bool> outcomes;
    for (int number = 0; number < 24; number++) {
        callers.emplace_back([&, number] {
            LineCaller caller(fixture.getPort(static_cast<std::size_t>(number % 2)), "bookings");
            for (int index = 0; index < 20; index++) {
                std::string item = "m" + std::to_string(number) + "-" + std::to_string(index);
                std::string answer = caller.execute("WRITE " + item + " v");
                std::lock_guard<std::mutex> lock(mutex);
                if (isServed(answer) || contains(answer, "ERR BUSY"))
                    outcomes[item] = isServed(answer);
            }
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    std::size_t numServed = 0;
    for (const std::pair<const std::string, bool>& outcome : outcomes) {
        CHECK_EQUAL(outcome.second ? 1 : 0, fixture.getGroup().countCommits(outcome.first));
        numServed += outcome.second ? 1 : 0;
    }
    CHECK(numServed > 0);
}

// A caller sends statements without waiting for their responses, behind one that runs. Guards against a session that takes
// all of them in one turn, so that every other caller of the instance waits for tens of seconds.
TEST(Gateway, floodBehindStatementDelaysNoOtherCaller)
{
    constexpr int numStatements = 250000;
    constexpr std::chrono::seconds startupLimit { 2 };
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    std::string flood = "QUERY f READ a\r\n";
    for (int number = 0; number < numStatements; number++)
        flood += "QUERY f SET a b\r\n";
    LineCaller flooding(fixture.getPort(0), "bookings");
    std::thread flooder([&] { flooding.sendRaw(flood); });
    int numServed = 0;
    int numLate = 0;
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
    while (std::chrono::steady_clock::now() < end) {
        std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
        LineCaller other(fixture.getPort(0), "bookings", startupLimit);
        bool isInTime = isServed(other.execute("READ a")) && std::chrono::steady_clock::now() - began < startupLimit;
        numServed += isInTime ? 1 : 0;
        numLate += isInTime ? 0 : 1;
    }
    flooder.join();
    CHECK(numServed > 0);
    LONGS_EQUAL(0, numLate);
}
