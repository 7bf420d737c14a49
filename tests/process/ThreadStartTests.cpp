#include "../../tools/lab/GatewaySite.h"
#include "GatewayFixture.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

TEST_GROUP(ThreadStart)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-threads-" + std::to_string(::getpid()))).string();
    std::string settings = folder + "/front-1.ini";
    std::string log = folder + "/log";
    lab::GatewaySite site { ".", folder };
    Failure failure;

    void setup() override
    {
        CHECK_TEXT(this->site.start(1, this->failure), this->failure.reason.c_str());
        this->site.signal(0, SIGKILL);
        this->site.getProcesses()[0]->wait();
    }

    void teardown() override { std::filesystem::remove_all(this->folder); }

    static std::string readText(const std::string& path)
    {
        std::ifstream stream(path);
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

    /// @returns the number in a line of a process's status in the system, or zero
    static std::uint64_t findStatus(const lab::Process& process, const std::string& key, int base)
    {
        std::string text = readText("/proc/" + std::to_string(process.getPid()) + "/status");
        std::size_t at = text.find("\n" + key + ":");
        return at == std::string::npos ? 0 : std::stoull(text.substr(at + key.size() + 2), nullptr, base);
    }

    /// Starts an instance whose address space has no room for the stack of a thread.
    std::unique_ptr<lab::Process> startWithoutRoom()
    {
        constexpr rlim_t room = 4U << 20;
        constexpr int handlesSegmentationFaults = 1 << (SIGSEGV - 1);
        std::filesystem::rename(this->settings, this->folder + "/hidden");
        std::unique_ptr<lab::Process> process = std::make_unique<lab::Process>("./lentiljunction", std::vector<std::string> { "serve", "--settings", this->settings }, this->log);
        // The limit must not stop the system from loading the program.
        CHECK_TRUE(waitUntil([&] { return (findStatus(*process, "SigCgt", 16) & handlesSegmentationFaults) != 0; }));
        this->setAddressSpace(*process, findStatus(*process, "VmSize", 10) * 1024 + room);
        std::filesystem::rename(this->folder + "/hidden", this->settings);
        CHECK_TRUE(waitUntil([&] { return lab::contains(readText(this->log), "name=thread_unavailable") || !process->isRunning(); }));
        CHECK(process->isRunning());
        return process;
    }

    static void setAddressSpace(const lab::Process& process, rlim_t bytes)
    {
        rlimit limit { bytes, RLIM_INFINITY };
        LONGS_EQUAL(0, ::prlimit(process.getPid(), RLIMIT_AS, &limit, nullptr));
    }
};

// An exception ended the process when the system granted no thread at its start.
TEST(ThreadStart, instanceWaitsForItsThreads)
{
    std::unique_ptr<lab::Process> process = this->startWithoutRoom();
    CHECK_FALSE(this->site.isReady(0));
    setAddressSpace(*process, RLIM_INFINITY);
    CHECK_TRUE(waitUntil([&] { return this->site.isReady(0) || !process->isRunning(); }));
    process->signal(SIGTERM);
    LONGS_EQUAL(0, process->wait());
}

// A stop signal must end the process normally also while it waits for its threads.
TEST(ThreadStart, instanceStopsNormallyWhileItWaits)
{
    std::unique_ptr<lab::Process> process = this->startWithoutRoom();
    process->signal(SIGTERM);
    LONGS_EQUAL(0, process->wait());
}

// Each thread took the limit on the main thread's stack out of the address space, so a limit of 1 GB ended the process.
TEST(ThreadStart, largeLimitOnStacksLeavesRoomForThreads)
{
    lab::Process process("/bin/sh", { "-c", "ulimit -S -s 1048576 && ulimit -v 163840 && exec ./lentiljunction serve --settings " + this->settings }, this->log);
    CHECK_TRUE(waitUntil([&] { return this->site.isReady(0) || !process.isRunning(); }));
    process.signal(SIGTERM);
    LONGS_EQUAL(0, process.wait());
}
