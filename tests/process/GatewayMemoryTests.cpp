#include "../../tools/lab/GatewaySite.h"
#include "GatewayFixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// The macros of the test framework break standard headers that follow them.
#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using lab::isServed;
using lab::LineCaller;

namespace {

/// A connection that sends bytes and reads nothing.
class SilentReader {
public:
    explicit SilentReader(int port)
        : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        timeval limit { 1, 0 };
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }

    ~SilentReader() { ::close(this->descriptor); }
    SilentReader(const SilentReader&) = delete;
    SilentReader& operator=(const SilentReader&) = delete;

    /// Sends until all is sent, the peer stops reading, or the connection ends.
    void send(const std::string& bytes)
    {
        std::size_t numSent = 0;
        while (numSent < bytes.size()) {
            ssize_t size = ::send(this->descriptor, bytes.data() + numSent, bytes.size() - numSent, MSG_NOSIGNAL);
            if (size <= 0)
                return;
            numSent += static_cast<std::size_t>(size);
        }
    }

private:
    int descriptor;
};

} // namespace

TEST_GROUP(GatewayMemory)
{
    /// The memory of the smallest machines, in MiB. A process that exceeds it is killed.
    static constexpr double smallestMemory = 160;
    static constexpr std::size_t longMessageSize = (1U << 20) - 200;
    static constexpr int numCallers = 300;
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-memory-" + std::to_string(::getpid()))).string();
    lab::GatewaySite site { ".", folder };
    Failure failure;

    void teardown() override { std::filesystem::remove_all(this->folder); }

    std::uint16_t getPort() const { return static_cast<std::uint16_t>(this->site.getSessionPorts()[0]); }

    void start()
    {
        CHECK_TEXT(this->site.start(1, this->failure), this->failure.reason.c_str());
        CHECK_TRUE(waitUntil([&] { return isServed(LineCaller(this->getPort(), "bookings").execute("WRITE item v")); }));
    }

    /// @returns whether the instance has read what waits for it, which uses a large part of a core
    bool hasReadAll()
    {
        constexpr std::chrono::milliseconds duration { 300 };
        constexpr double idleSeconds = 0.03;
        double before = this->site.getProcesses()[0]->getProcessorSeconds();
        std::this_thread::sleep_for(duration);
        return this->site.getProcesses()[0]->getProcessorSeconds() - before < idleSeconds;
    }

    void checkHealthy()
    {
        CHECK_TRUE(waitUntil([&] { return this->hasReadAll(); }));
        double peak = this->site.getProcesses()[0]->getPeakMemory();
        CHECK_TEXT(peak < smallestMemory, (std::to_string(peak) + " MiB").c_str());
        CHECK_TRUE(this->site.isReady(0));
        CHECK_TRUE(waitUntil([&] { return isServed(LineCaller(this->getPort(), "bookings").execute("READ item")); }));
        CHECK_TRUE(this->site.getProcesses()[0]->isRunning());
    }
};

// Sessions that had one long reply kept its memory until they ended, and the process grew beyond its machine.
TEST(GatewayMemory, idleSessionsKeepNoLongBuffers)
{
    start();
    CHECK_TRUE(isServed(LineCaller(getPort(), "bookings").execute("WRITE long " + std::string(longMessageSize, 'x'))));
    std::vector<std::unique_ptr<LineCaller>> idle;
    for (int index = 0; index < numCallers; index++) {
        idle.push_back(std::make_unique<LineCaller>(getPort(), "bookings"));
        CHECK_TRUE(waitUntil([&] { return idle.back()->execute("READ long").size() > longMessageSize; }));
    }
    checkHealthy();
}

// The readiness page, the metrics page and the ports of other instances took messages of up to 64 MiB from anyone.
TEST(GatewayMemory, longMessagesAreRefusedWherePeersSendShortOnes)
{
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 62914560\r\n\r\n";
    const std::string handshake = "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDAwMDAwMDAwMDAwMDAwMA==\r\n\r\n";
    const std::string frame("\x82\xff\0\0\0\0\x03\xc0\0\0abcd", 14);
    const std::string body(59U << 20, 'y');
    start();
    std::vector<std::unique_ptr<SilentReader>> senders;
    for (std::size_t index = 1; index < site.getListeningPorts(0).size(); index++) {
        for (const std::string& begin : { request, handshake + frame }) {
            for (int repetition = 0; repetition < 2; repetition++) {
                senders.push_back(std::make_unique<SilentReader>(site.getListeningPorts(0)[index]));
                senders.back()->send(begin + body);
            }
        }
    }
    checkHealthy();
}

// Callers that sent long statements without their end filled the memory, and the process was killed.
TEST(GatewayMemory, unfinishedStatementsStayWithinBudget)
{
    site.setMemoryLimit(static_cast<int>(smallestMemory));
    start();
    std::vector<std::unique_ptr<SilentReader>> senders;
    for (int index = 0; index < numCallers; index++) {
        senders.push_back(std::make_unique<SilentReader>(getPort()));
        senders.back()->send("STARTUP bookings t\r\nQUERY q1 WRITE long " + std::string(longMessageSize, 'x'));
    }
    checkHealthy();
}

// Session values were kept without a bound: one caller could fill the memory with them.
TEST(GatewayMemory, sessionValuesStayWithinBudget)
{
    site.setMemoryLimit(static_cast<int>(smallestMemory));
    start();
    LineCaller other(getPort(), "bookings");
    LineCaller caller(getPort(), "bookings");
    for (int index = 0; index < numCallers; index++)
        caller.execute("SET v" + std::to_string(index) + " " + std::string(longMessageSize, 'x'));
    checkHealthy();
    CHECK_TRUE(waitUntil([&] { return isServed(other.execute("READ item")); }));
}

// A result exceeds what callers may hold. Guards against a process that ends, and against callers that do not learn whether to
// send their statement again (review case 10).
TEST(GatewayMemory, readWhoseResultExceedsMemoryIsRefused)
{
    GatewayFixture fixture(2);
    fixture.getGroup().setLongResult(60000);
    fixture.configure(2, { "bookings", "checks" });
    CHECK_TRUE(fixture.waitUntilServed("checks"));
    std::string whole = LineCaller(fixture.getPort(0), "checks").execute("READ long");
    CHECK(isServed(whole));
    LONGS_EQUAL(60000, std::count(whole.begin(), whole.end(), 'W'));

    fixture.setMaximumMemory(1);
    std::size_t limited = fixture.startInstance();
    CHECK_TRUE(waitUntil([&] { return isServed(LineCaller(fixture.getPort(limited), "checks").execute("READ item")); }));
    LineCaller caller(fixture.getPort(limited), "checks");
    STRCMP_CONTAINS("ERR BUSY", caller.execute("READ long").c_str());
    caller.execute("BEGIN READ");
    STRCMP_CONTAINS("ERR ABORTED", caller.execute("READ long").c_str());
    caller.execute("ROLLBACK");
    CHECK(isServed(caller.execute("READ item")));
}

// Each session that had ended a transaction kept the configuration with which it began, and the process grew by one configuration
// for each version that was in force meanwhile (review case 14). The limit leaves room for all descriptors of the smallest machine.
TEST(GatewayMemory, idleSessionsKeepNoFormerConfigurations)
{
    constexpr int numRoutes = 5000;
    constexpr int numFirstVersions = 5;
    constexpr int numVersions = 40;
    constexpr int numSessionsPerVersion = 25;
    constexpr double largestSession = 32.0 / 1024;
    start();
    std::vector<std::string> databases { "bookings", "" };
    for (int number = 0; number < numRoutes; number++)
        databases.push_back("database" + std::to_string(number));
    std::vector<std::unique_ptr<LineCaller>> sessions;
    double before = 0;
    for (int version = 2; version < 2 + numFirstVersions + numVersions; version++) {
        databases[1] = "version" + std::to_string(version);
        site.getSite().configure(static_cast<std::uint64_t>(version), databases);
        CHECK_TRUE(waitUntil([&] { return LineCaller(getPort(), databases[1]).getStartupResponse() == "READY I -"; }));
        if (version < 2 + numFirstVersions) {
            before = site.getProcesses()[0]->getPeakMemory();
            continue;
        }
        for (int number = 0; number < numSessionsPerVersion; number++) {
            sessions.push_back(std::make_unique<LineCaller>(getPort(), "bookings"));
            for (const char* statement : { "BEGIN READ", "READ item", "COMMIT" })
                sessions.back()->execute(statement);
        }
    }
    double growth = site.getProcesses()[0]->getPeakMemory() - before;
    CHECK_TEXT(growth < largestSession * static_cast<double>(sessions.size()), (std::to_string(growth) + " MiB").c_str());
    checkHealthy();
}
