#include "../../tools/lab/GatewaySite.h"
#include "../../tools/lab/LineCaller.h"
#include "GatewayFixture.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

std::string readText(const std::string& path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

TEST_GROUP(ProcessEnd)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-ends-" + std::to_string(::getpid()))).string();

    void setup() override { std::filesystem::create_directories(folder); }
    void teardown() override { std::filesystem::remove_all(folder); }

    /// @returns the only line of a log that reports the end of a process
    std::string findEnd(const std::string& log)
    {
        std::istringstream lines(log);
        std::string found;
        for (std::string line; std::getline(lines, line);) {
            if (line.find(" event=120 name=process_ended ") == std::string::npos)
                continue;
            CHECK_TEXT(found.empty(), log.c_str());
            found = line;
        }
        return found;
    }
};

// How a process had ended could not be told from its log: after a signal there was no line, exit codes 2 and 4 were not in it.
TEST(ProcessEnd, logOfInstanceTellsHowItEnded)
{
    lab::GatewaySite site(".", this->folder);
    Failure failure;
    CHECK_TEXT(site.start(3, failure), failure.reason.c_str());
    std::vector<std::string> expected { "cause=signal", "cause=stopped" };
    LONGS_EQUAL(128 + SIGSEGV, (site.signal(0, SIGSEGV), site.getProcesses()[0]->wait()));
    LONGS_EQUAL(0, (site.signal(1, SIGTERM), site.getProcesses()[1]->wait()));
    std::string logs;
    for (const std::filesystem::directory_entry& entry : std::filesystem::directory_iterator(this->folder))
        logs += entry.path().extension() == ".log" ? findEnd(readText(entry.path().string())) + "\n" : "";
    for (const std::string& cause : expected)
        STRCMP_CONTAINS(cause.c_str(), logs.c_str());
    STRCMP_CONTAINS(" signal=11 sender=", logs.c_str());
    STRCMP_CONTAINS(" exit_code=0", logs.c_str());
}

// Settings that are missing or do not look like those of any instance left no line either.
TEST(ProcessEnd, logOfInstanceNamesInvalidSettings)
{
    for (const char* text : { "[sessions]\nlisten = nowhere\n", "[sess", "", "[other]\nkey = 1\n" }) {
        std::ofstream(this->folder + "/node.ini") << text;
        std::string output = this->folder + "/output";
        std::filesystem::remove(output);
        lab::Process process("./lentiljunction", { "serve", "--settings", this->folder + "/node.ini" }, output);
        LONGS_EQUAL(2, process.wait());
        std::string line = this->findEnd(readText(output));
        STRCMP_CONTAINS("cause=settings", line.c_str());
        STRCMP_CONTAINS(" exit_code=2 reason=\"", line.c_str());
    }
}

// With standard output closed at the start, an event loop got its descriptor, and log lines were written to that.
TEST(ProcessEnd, logGoesToNoOtherFileWhenStandardOutputIsClosed)
{
    lab::GatewaySite site(".", this->folder);
    Failure failure;
    CHECK_TEXT(site.start(1, failure), failure.reason.c_str());
    site.signal(0, SIGKILL);
    site.getProcesses()[0]->wait();
    lab::Process process("/bin/sh", { "-c", "exec ./lentiljunction serve --settings " + this->folder + "/front-1.ini <&- >&- 2>&-" }, "/dev/null");
    CHECK_TRUE(waitUntil([&] { return site.isReady(0); }));
    for (const char* number : { "0", "1", "2" })
        STRCMP_EQUAL("/dev/null", std::filesystem::read_symlink("/proc/" + std::to_string(process.getPid()) + "/fd/" + number).c_str());
    process.signal(SIGTERM);
    LONGS_EQUAL(0, process.wait());
}

// An instance whose log file had reached the system's limit on file sizes was ended by SIGXFSZ, without a line.
TEST(ProcessEnd, instanceServesWhenItsLogFileIsFull)
{
    lab::GatewaySite site(".", this->folder);
    Failure failure;
    CHECK_TEXT(site.start(1, failure), failure.reason.c_str());
    site.signal(0, SIGKILL);
    site.getProcesses()[0]->wait();
    lab::Process process("/bin/sh", { "-c", "ulimit -f 0 && exec ./lentiljunction serve --settings " + this->folder + "/front-1.ini" }, this->folder + "/full");
    CHECK_TRUE(waitUntil([&] { return site.isReady(0) || !process.isRunning(); }));
    process.signal(SIGTERM);
    LONGS_EQUAL(0, process.wait());
}

// The reader of the log stalled or was killed while the process ran, which could block it, end it, or hide how it ended.
TEST(ProcessEnd, instanceServesAndReportsItsEndWhenReaderOfLogStallsOrIsGone)
{
    lab::GatewaySite site(".", this->folder);
    Failure failure;
    CHECK_TEXT(site.start(1, failure), failure.reason.c_str());
    for (bool isReaderGone : { false, true }) {
        site.signal(0, SIGKILL);
        site.getProcesses()[0]->wait();
        std::string pipe = this->folder + "/pipe" + std::to_string(isReaderGone ? 1 : 0);
        CHECK_EQUAL(0, ::mkfifo(pipe.c_str(), 0600));
        int reader = ::open(pipe.c_str(), O_RDONLY | O_NONBLOCK);
        std::string errors = pipe + ".errors";
        lab::Process process("/bin/sh", { "-c", "exec ./lentiljunction serve --settings " + this->folder + "/front-1.ini > " + pipe + " 2> " + errors }, "/dev/null");
        CHECK_TRUE(waitUntil([&] { return site.isReady(0); }));
        lab::LineCaller caller(static_cast<std::uint16_t>(site.getSessionPorts()[0]), "bookings");
        // More lines than the pipe holds.
        for (int count = 0; count < 1500; count++) {
            if (isReaderGone && count == 100)
                ::close(reader);
            STRCMP_CONTAINS("READY", caller.execute("READ a").c_str());
            STRCMP_CONTAINS("READY", caller.execute("ROLLBACK").c_str());
        }
        process.signal(SIGTERM);
        LONGS_EQUAL(0, process.wait());
        STRCMP_CONTAINS("cause=stopped", this->findEnd(readText(errors)).c_str());
        if (!isReaderGone)
            ::close(reader);
    }
}

// Without any descriptor that takes the last line, a process could block or end by a signal.
TEST(ProcessEnd, instanceStopsInOrderWhenReadersOfBothOutputsAreGone)
{
    lab::GatewaySite site(".", this->folder);
    Failure failure;
    CHECK_TEXT(site.start(1, failure), failure.reason.c_str());
    site.signal(0, SIGKILL);
    site.getProcesses()[0]->wait();
    std::string pipe = this->folder + "/pipe";
    CHECK_EQUAL(0, ::mkfifo(pipe.c_str(), 0600));
    int reader = ::open(pipe.c_str(), O_RDONLY | O_NONBLOCK);
    lab::Process process("/bin/sh", { "-c", "exec ./lentiljunction serve --settings " + this->folder + "/front-1.ini > " + pipe + " 2>&1" }, "/dev/null");
    CHECK_TRUE(waitUntil([&] { return site.isReady(0); }));
    ::close(reader);
    lab::LineCaller caller(static_cast<std::uint16_t>(site.getSessionPorts()[0]), "bookings");
    for (int count = 0; count < 300; count++)
        STRCMP_CONTAINS("READY", caller.execute("READ a").c_str());
    process.signal(SIGTERM);
    LONGS_EQUAL(0, process.wait());
}
