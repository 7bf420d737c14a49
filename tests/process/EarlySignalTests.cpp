#include "../../tools/lab/Process.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace lentiljunction;

TEST_GROUP(EarlySignal) {};

// SIGHUP ended the process when it came before the settings were read.
TEST(EarlySignal, processThatReadsItsSettingsSurvivesHangUp)
{
    constexpr int settingsFault = 2;
    std::string path = "/tmp/lj-early-signal-" + std::to_string(::getpid());
    LONGS_EQUAL(0, ::mkfifo(path.c_str(), S_IRUSR | S_IWUSR));
    lab::Process process("./lentiljunction", { "serve", "--settings", path }, "/dev/null");
    // Returns once the process opens the file.
    int writer = ::open(path.c_str(), O_WRONLY);
    CHECK(writer >= 0);
    process.signal(SIGHUP);
    std::remove(path.c_str());
    ::close(writer);
    LONGS_EQUAL(settingsFault, process.wait());
}
