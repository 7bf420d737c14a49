#include "../../src/net/WebSocketClient.h"
#include "GatewayBench.h"

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

/// Sends messages to an instance as another instance would.
class OddPeer : public WebSocketClient::Listener {
public:
    explicit OddPeer(const Endpoint& endpoint)
        : client(this->loop, *this)
    {
        this->loop.start();
        this->loop.post([this, endpoint] { this->client.connect(endpoint, "/peer"); });
    }

    ~OddPeer() override { this->loop.stop(); }

    void onConnected(WebSocketClient::Handle handle) override
    {
        const std::vector<nlohmann::json> bodies { 7, "text", nlohmann::json::array(), { { "ask", 7 } }, { { "ask", "take_lead" }, { "record", 1 } }, { { "ask", "suspect" }, { "group", 7 }, { "is_leaving", "yes" } }, { { "ask", "opinion" }, { "group", nlohmann::json::array() } } };
        std::uint64_t number = 1;
        for (const nlohmann::json& body : bodies) {
            std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor({ { "number", number++ }, { "body", body } });
            this->client.send(handle, std::string(bytes.begin(), bytes.end()), true);
        }
        this->client.send(handle, "no cbor at all", true);
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

TEST(Gateway, aSessionReadsItsOwnWritesOnEveryRoute)
{
    GatewayBench bench;
    bench.configure(2, { "bookings", "checks" });
    CHECK_TRUE(bench.waitServed("bookings"));
    CHECK_TRUE(bench.waitServed("checks"));
    for (const char* database : { "bookings", "checks" }) {
        LineCaller caller(bench.getPort(0), database);
        for (int index = 0; index < 50; index++) {
            std::string item = std::string(database) + std::to_string(index);
            CHECK_TRUE(isServed(caller.execute("WRITE " + item + " value " + std::to_string(index))));
            STRCMP_CONTAINS(("ROW value " + std::to_string(index)).c_str(), caller.execute("READ " + item).c_str());
        }
    }
}

TEST(Gateway, aTransactionIsKeptAsAWholeOrNotAtAll)
{
    GatewayBench bench;
    CHECK_TRUE(bench.waitServed("bookings"));
    LineCaller caller(bench.getPort(0), "bookings");
    STRCMP_EQUAL("DONE -|READY T -", caller.execute("BEGIN").c_str());
    CHECK_TRUE(isServed(caller.execute("WRITE a 1")));
    CHECK_TRUE(isServed(caller.execute("WRITE b 2")));
    STRCMP_CONTAINS("READY I", caller.execute("COMMIT").c_str());
    STRCMP_EQUAL("DONE -|READY T -", caller.execute("BEGIN").c_str());
    CHECK_TRUE(isServed(caller.execute("WRITE c 3")));
    STRCMP_EQUAL("DONE -|READY I -", caller.execute("ROLLBACK").c_str());
    CHECK_EQUAL(1, bench.getGroup().countCommits("a"));
    CHECK_EQUAL(1, bench.getGroup().countCommits("b"));
    CHECK_EQUAL(0, bench.getGroup().countCommits("c"));
    STRCMP_CONTAINS("ROW -", caller.execute("READ c").c_str());
}

TEST(Gateway, valuesAndPreparedStatementsFollowTheSession)
{
    GatewayBench bench(1);
    CHECK_TRUE(bench.waitServed("bookings"));
    LineCaller first(bench.getPort(0), "bookings");
    LineCaller second(bench.getPort(0), "bookings");
    STRCMP_EQUAL("DONE -|READY I -", first.execute("SET tz utc").c_str());
    STRCMP_EQUAL("DONE -|READY I -", first.execute("PREPARE s1 WRITE q1").c_str());
    STRCMP_EQUAL("DONE -|READY I -", second.execute("PREPARE s1 READ q2").c_str());
    CHECK_TRUE(isServed(first.execute("EXEC s1 item hello there")));
    STRCMP_CONTAINS("ROW hello there", second.execute("EXEC s1 item").c_str());
    STRCMP_EQUAL("DONE -|READY I -", second.execute("DEALLOC s1").c_str());
    STRCMP_CONTAINS("ERR NOSUCHSTMT", second.execute("EXEC s1 item").c_str());
}

TEST(Gateway, badInputGetsAClearErrorAndHarmsNobody)
{
    GatewayBench bench(1);
    CHECK_TRUE(bench.waitServed("bookings"));
    LineCaller caller(bench.getPort(0), "bookings");
    for (const char* text : { "", "FROB", "READ", "WRITE x", "COMMIT", "ROLLBACK", "PREPARE s READ", "WAITLSN 1.2 READ a", "BEGIN TWICE" })
        STRCMP_CONTAINS("ERR MALFORMED", caller.execute(text).c_str());
    CHECK_TRUE(isServed(caller.execute("READ a")));
    STRCMP_CONTAINS("ERR NODB", LineCaller(bench.getPort(0), "nowhere").getStartupResponse().c_str());
    STRCMP_CONTAINS("ERR MALFORMED", LineCaller(bench.getPort(0), "bookings").sendRaw("HELLO\r\n").c_str());
    STRCMP_CONTAINS("ERR MALFORMED", LineCaller(bench.getPort(0), "bookings").sendRaw(std::string((1U << 20) + 10, 'x')).c_str());
    CHECK_TRUE(isServed(caller.execute("READ a")));
}

TEST(Gateway, aCrashedPrimaryIsReplacedAndNothingRunsTwice)
{
    GatewayBench bench(3);
    CHECK_TRUE(bench.waitServed("bookings"));
    bench.getGroup().crash("u1");
    LineCaller caller(bench.getPort(0), "bookings");
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
    CHECK(bench.getGroup().findPrimary() != "u1");
    for (const std::string& item : acknowledged)
        CHECK_EQUAL(1, bench.getGroup().countCommits(item));
}

TEST(Gateway, aChangeOfPrimaryIsKeptInTheAuditTrail)
{
    GatewayBench bench;
    CHECK_TRUE(bench.waitServed("bookings"));
    bench.report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { return !bench.getStore().list("lentiljunction-audit").empty(); }));
    nlohmann::json record = bench.getStore().list("lentiljunction-audit").front()["records"][0];
    STRCMP_EQUAL("promotion", record.value("kind", "").c_str());
    STRCMP_EQUAL(bench.getGroup().getName().c_str(), record.value("subject", "").c_str());
    STRCMP_EQUAL("u1", record.value("before", "").c_str());
    STRCMP_CONTAINS(bench.getGroup().findPrimary().c_str(), record.value("after", "").c_str());
    STRCMP_CONTAINS("front-", record.value("actor", "").c_str());
}

TEST(Gateway, theMetricsPageShowsStatementsBeliefsUpstreamsAndStoreCalls)
{
    GatewayBench bench(1);
    CHECK_TRUE(bench.waitServed("bookings"));
    LineCaller caller(bench.getPort(0), "bookings");
    CHECK_TRUE(isServed(caller.execute("WRITE m v")));
    STRCMP_CONTAINS("ERR", caller.execute("COMMIT").c_str());
    std::string page = bench.readMetrics(0);
    for (const char* line : { "lentiljunction_statements_total{code=\"success\",kind=\"primary\",rank=\"urgent\",upstream=\"u1\"}", "lentiljunction_statement_failures_total{cause=\"not_allowed\"", "lentiljunction_belief{fact=\"holds_duty\"} 1", "lentiljunction_belief{fact=\"permit_seconds\"}", "lentiljunction_upstream_connections{group=", "lentiljunction_upstream_lag_positions{", "lentiljunction_proof_age_seconds{", "lentiljunction_store_calls_total{operation=\"write_lead\",result=\"done\"}", "lentiljunction_statement_seconds_bucket{" })
        STRCMP_CONTAINS(line, page.c_str());
}

TEST(Gateway, aLeavingPrimaryHandsOver)
{
    GatewayBench bench;
    CHECK_TRUE(bench.waitServed("bookings"));
    bench.report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { return bench.getGroup().findPrimary() != "u1"; }));
    LineCaller caller(bench.getPort(1), "bookings");
    CHECK_TRUE(waitUntil([&] { return isServed(caller.execute("WRITE after v")); }));
}

TEST(Gateway, writesGoOnWhileTheStoreIsAway)
{
    GatewayBench bench;
    CHECK_TRUE(bench.waitServed("bookings"));
    bench.getStore().setFault(standin::PlatformStore::Fault::Silent);
    // Longer than a permit lasts, so the last answers stand on the evidence of the upstreams.
    TimePoint end = SystemClock().now() + permitSpan + std::chrono::seconds(2);
    LineCaller caller(bench.getPort(0), "bookings");
    int numServed = 0;
    std::string last;
    for (int index = 0; SystemClock().now() < end; index++) {
        last = caller.execute("WRITE s" + std::to_string(index) + " v");
        numServed += isServed(last) ? 1 : 0;
    }
    CHECK_TRUE(isServed(last));
    CHECK(numServed > 50);
    bench.getStore().setFault(standin::PlatformStore::Fault::None);
    CHECK_TRUE(isServed(caller.execute("READ s1")));
}

TEST(Gateway, aLostAnswerToACommitIsInDoubtAndIsNotRepeated)
{
    GatewayBench bench(1);
    CHECK_TRUE(bench.waitServed("bookings"));
    bench.getGroup().setFault("u1", standin::LineUpstream::Fault::LosesAnswers);
    LineCaller caller(bench.getPort(0), "bookings");
    STRCMP_CONTAINS("ERR INDOUBT", caller.execute("WRITE once v").c_str());
    CHECK_EQUAL(1, bench.getGroup().countCommits("once"));
}

TEST(Gateway, aBusyUpstreamIsNotAskedForever)
{
    GatewayBench bench(1);
    CHECK_TRUE(bench.waitServed("bookings"));
    bench.getGroup().setFault("u1", standin::LineUpstream::Fault::Busy);
    LineCaller caller(bench.getPort(0), "bookings");
    STRCMP_CONTAINS("ERR BUSY", caller.execute("WRITE x v").c_str());
    CHECK_EQUAL(0, bench.getGroup().countCommits("x"));
    bench.getGroup().setFault("u1", standin::LineUpstream::Fault::None);
    CHECK_TRUE(isServed(caller.execute("WRITE x v")));
}

TEST(Gateway, aDrainCutsOffNoStatementAndNoTransaction)
{
    GatewayBench bench;
    CHECK_TRUE(bench.waitServed("bookings"));
    LineCaller caller(bench.getPort(0), "bookings");
    CHECK_TRUE(isServed(caller.execute("WRITE a 1")));
    std::thread draining([&] { bench.drain(0); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    STRCMP_CONTAINS("READY T", caller.execute("BEGIN").c_str());
    CHECK_TRUE(isServed(caller.execute("WRITE b 1")));
    STRCMP_CONTAINS("READY I", caller.execute("COMMIT").c_str());
    draining.join();
    CHECK_EQUAL(1, bench.getGroup().countCommits("b"));
    CHECK_TRUE(isServed(LineCaller(bench.getPort(1), "bookings").execute("READ b")));
}

TEST(Gateway, aTransactionStaysOnItsConnectionWhenItsPermitRunsOut)
{
    GatewayBench bench;
    CHECK_TRUE(bench.waitServed("bookings"));
    LineCaller caller(bench.getPort(0), "bookings");
    STRCMP_CONTAINS("READY T", caller.execute("BEGIN").c_str());
    CHECK_TRUE(isServed(caller.execute("WRITE a 1")));
    bench.getStore().setFault(standin::PlatformStore::Fault::Silent);
    // Long enough for the permit to run out and for the upstreams to have been asked for evidence.
    std::this_thread::sleep_for(permitSpan + std::chrono::milliseconds(1200));
    // From now on the evidence does not come either, on connections that are open.
    bench.getGroup().setFault("u3", standin::LineUpstream::Fault::Silent);
    std::string answer = caller.execute("WRITE b 1");
    CHECK_TRUE(isServed(answer));
    STRCMP_CONTAINS("READY T", answer.c_str());
    STRCMP_CONTAINS("ERR INDOUBT", caller.execute("COMMIT").c_str());
}

// Without the store a silent upstream leaves no proof of who leads. The caller is told so at once, not at
// the end of the statement's time, and what comes next is not sent.
TEST(Gateway, anAnswerThatCannotBeProvedIsNotHeldBack)
{
    constexpr std::chrono::milliseconds routeTime { 1500 };
    GatewayBench bench;
    CHECK_TRUE(bench.waitServed("bookings"));
    LineCaller caller(bench.getPort(0), "bookings");
    bench.getStore().setFault(standin::PlatformStore::Fault::Silent);
    TimePoint end = SystemClock().now() + permitSpan + std::chrono::milliseconds(1200);
    while (SystemClock().now() < end)
        caller.execute("WRITE before v");
    CHECK_TRUE(isServed(caller.execute("WRITE before v")));

    bench.getGroup().setFault("u3", standin::LineUpstream::Fault::Silent);
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

TEST(Gateway, anInstanceThatTheStoreRefusesGoesByTheOthers)
{
    GatewayBench bench(3);
    CHECK_TRUE(bench.waitServed("bookings"));
    // No evidence can be had either, so only another instance's permit is left. The last instance knows
    // the others as seeds.
    constexpr std::size_t refused = 2;
    bench.getStore().setDoorFault(refused, standin::PlatformStore::Fault::Unavailable);
    bench.getGroup().crash("u3");
    TimePoint end = SystemClock().now() + permitSpan + std::chrono::seconds(2);
    LineCaller caller(bench.getPort(refused), "bookings");
    std::string last;
    for (int index = 0; SystemClock().now() < end; index++) {
        last = caller.execute("WRITE p" + std::to_string(index) + " v");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK_TRUE(isServed(last));
}

TEST(Gateway, messagesOfOtherInstancesThatCannotBeReadHarmNobody)
{
    GatewayBench bench(1);
    CHECK_TRUE(bench.waitServed("bookings"));
    OddPeer peer(bench.getPeerEndpoint(0));
    CHECK_TRUE(waitUntil([&] { return peer.isSent.load(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK_TRUE(isServed(LineCaller(bench.getPort(0), "bookings").execute("WRITE still here")));
}

TEST(Gateway, aChangeOfPrimarySurvivesWritesThatAreDoneLate)
{
    GatewayBench bench(3);
    CHECK_TRUE(bench.waitServed("bookings"));
    bench.getStore().setFault(standin::PlatformStore::Fault::LateWrites);
    bench.getGroup().crash("u1");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    bench.getStore().setFault(standin::PlatformStore::Fault::None);
    LineCaller caller(bench.getPort(0), "bookings");
    std::set<std::string> acknowledged;
    int next = 0;
    CHECK_TRUE(waitUntil([&] {
        std::string item = "l" + std::to_string(next++);
        if (isServed(caller.execute("WRITE " + item + " v")))
            acknowledged.insert(item);
        return acknowledged.size() >= 10;
    }));
    for (const std::string& item : acknowledged)
        CHECK_EQUAL(1, bench.getGroup().countCommits(item));
}

TEST(Gateway, moreWorkThanSlotsIsServedOrRefusedTruthfully)
{
    GatewayBench bench;
    CHECK_TRUE(bench.waitServed("bookings"));
    bench.getGroup().setWork(std::chrono::milliseconds(5));
    std::vector<std::thread> callers;
    std::mutex mutex;
    std::map<std::string, bool> outcomes;
    for (int number = 0; number < 24; number++) {
        callers.emplace_back([&, number] {
            LineCaller caller(bench.getPort(static_cast<std::size_t>(number % 2)), "bookings");
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
        CHECK_EQUAL(outcome.second ? 1 : 0, bench.getGroup().countCommits(outcome.first));
        numServed += outcome.second ? 1 : 0;
    }
    CHECK(numServed > 0);
}
