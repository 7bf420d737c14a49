#include "../../tools/lab/GatewaySite.h"
#include "GatewayFixture.h"

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

/// A connection on which nothing is sent.
class OpenConnection {
public:
    explicit OpenConnection(int port)
        : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }

    ~OpenConnection() { ::close(this->descriptor); }
    OpenConnection(const OpenConnection&) = delete;
    OpenConnection& operator=(const OpenConnection&) = delete;

private:
    int descriptor;
};

/// @returns the cores that a process uses on average over some time
double measureCores(const lab::Process& process)
{
    constexpr std::chrono::seconds duration { 2 };
    double before = process.getProcessorSeconds();
    std::this_thread::sleep_for(duration);
    return (process.getProcessorSeconds() - before) / static_cast<double>(duration.count());
}

} // namespace

TEST_GROUP(GatewayResources)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-resources-" + std::to_string(::getpid()))).string();
    lab::GatewaySite site { ".", folder };
    Failure failure;
    /// The cores that an instance has on the smallest machines.
    double smallestShare = 0.12;

    void teardown() override { std::filesystem::remove_all(this->folder); }
};

// An instance that had no free descriptor retried to accept a waiting connection at a whole core.
TEST(GatewayResources, acceptingWaitsForFreeDescriptor)
{
    CHECK_TEXT(site.start(2, failure), failure.reason.c_str());
    lab::Process& process = *site.getProcesses()[0];
    for (int port : site.getListeningPorts(0)) {
        int limit = process.limitDescriptors(process.countDescriptors());
        {
            OpenConnection waiting(port);
            double cores = measureCores(process);
            CHECK_TEXT(cores < smallestShare, ("port " + std::to_string(port) + ": " + std::to_string(cores) + " cores").c_str());
        }
        process.limitDescriptors(limit);
        CHECK_TRUE(waitUntil([&] { return site.isReady(0) && isServed(LineCaller(static_cast<std::uint16_t>(site.getSessionPorts()[0]), "bookings").execute("WRITE item v")); }));
    }
    CHECK_TRUE(process.isRunning());
}

// Callers that held every descriptor of an instance took them from the store, the other instances, the upstreams and the
// readiness page, and further callers got no answer.
TEST(GatewayResources, callersLeaveDescriptorsToControl)
{
    constexpr int limit = 120;
    constexpr std::size_t numCallers = 130;
    site.setDescriptorLimit(limit);
    CHECK_TEXT(site.start(2, failure), failure.reason.c_str());
    lab::Process& process = *site.getProcesses()[0];
    std::uint16_t port = static_cast<std::uint16_t>(site.getSessionPorts()[0]);
    CHECK_TRUE(waitUntil([&] { return isServed(LineCaller(port, "bookings").execute("WRITE item v")); }));
    std::vector<std::unique_ptr<LineCaller>> held;
    std::size_t numRefused = 0;
    for (std::size_t index = 0; index < numCallers; index++) {
        std::unique_ptr<LineCaller> caller = std::make_unique<LineCaller>(port, "bookings", std::chrono::seconds(2));
        if (lab::contains(caller->getStartupResponse(), "READY"))
            held.push_back(std::move(caller));
        else if (lab::contains(caller->getStartupResponse(), "ERR"))
            numRefused++;
    }
    CHECK_EQUAL(numCallers, held.size() + numRefused);
    CHECK_TRUE(numRefused > 0 && held.size() >= limit / 4);

    CHECK_TRUE(process.countDescriptors() < limit);
    double cores = measureCores(process);
    CHECK_TEXT(cores < smallestShare, std::to_string(cores).c_str());
    CHECK_TRUE(site.isReady(0));
    CHECK_TRUE(isServed(held.front()->execute("WRITE item w")));
    site.getSite().configure(2, { "bookings", "checks", "later" });
    CHECK_TRUE(waitUntil([&] {
        held.erase(held.begin());
        return lab::contains(LineCaller(port, "later").getStartupResponse(), "READY");
    }));
    held.clear();
    for (int index = 0; index < limit / 4; index++)
        CHECK_TRUE(waitUntil([&] { return isServed(LineCaller(port, "bookings").execute("WRITE item x")); }));
    CHECK_TRUE(process.isRunning());
}
