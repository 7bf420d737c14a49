#include "../../src/net/TcpConnection.h"
#include "../../tools/lab/GatewaySite.h"
#include "lentiljunction/core/EventLoop.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <thread>
#include <unistd.h>

using namespace lentiljunction;

namespace {

constexpr std::size_t sessionsPort = 0;
constexpr std::size_t readyPort = 1;
constexpr std::size_t peersPort = 2;
constexpr std::size_t numPorts = 5;
constexpr std::chrono::milliseconds pollInterval { 20 };
constexpr std::chrono::seconds timeout { 30 };

} // namespace

TEST_GROUP(HeldPort)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-held-" + std::to_string(::getpid()))).string();
    lab::GatewaySite site { ".", folder };
    EventLoop loop;
    Failure failure;

    void setup() override { CHECK_TEXT(this->site.start(2, this->failure), this->failure.reason.c_str()); }
    void teardown() override { std::filesystem::remove_all(this->folder); }

    lab::Process& getProcess() { return *this->site.getProcesses()[0]; }

    /// Starts the first instance while another process holds one of its ports.
    std::unique_ptr<TcpServer> restartWithHeldPort(std::size_t port)
    {
        this->getProcess().signal(SIGKILL);
        this->getProcess().wait();
        std::unique_ptr<TcpServer> holder = std::make_unique<TcpServer>(this->loop);
        Endpoint endpoint { "127.0.0.1", static_cast<std::uint16_t>(this->site.getListeningPorts(0)[port]) };
        bool isHeld = holder->listen(
            endpoint, [](std::unique_ptr<TcpConnection>) -> TcpConnection::Listener& { std::abort(); }, this->failure);
        CHECK_TEXT(isHeld, this->failure.reason.c_str());
        this->site.restart(0);
        return holder;
    }

    bool waitUntilReady()
    {
        std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
        while (!this->site.isReady(0) && this->getProcess().isRunning() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(pollInterval);
        return this->site.isReady(0);
    }
};

// The process ended with code 4 when another one still held any of its listening ports.
TEST(HeldPort, instanceWaitsForTheSessionsAndPeersPortsAndServesWithoutTheOthers)
{
    for (std::size_t port = 0; port < numPorts; port++) {
        if (port == readyPort)
            continue;
        std::unique_ptr<TcpServer> holder = this->restartWithHeldPort(port);
        if (port == sessionsPort || port == peersPort) {
            std::this_thread::sleep_for(std::chrono::seconds(2));
            CHECK(this->getProcess().isRunning() && !this->site.isReady(0));
            holder.reset();
        }
        CHECK_TEXT(this->waitUntilReady(), std::to_string(port).c_str());
    }
}

// A stop signal must end the process normally also while it still waits for a port.
TEST(HeldPort, instanceStopsNormallyWhileItWaits)
{
    std::unique_ptr<TcpServer> holder = this->restartWithHeldPort(sessionsPort);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    this->getProcess().signal(SIGTERM);
    LONGS_EQUAL(0, this->getProcess().wait());
}
