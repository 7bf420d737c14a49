#include "../../tools/lab/Cluster.h"
#include "../../tools/lab/Process.h"

#include <httplib.h>

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace lentiljunction;

namespace {

constexpr int settingsFault = 2;
constexpr std::chrono::milliseconds writingTime { 100 };
constexpr std::chrono::milliseconds pollInterval { 20 };
constexpr std::chrono::seconds timeout { 30 };

} // namespace

TEST_GROUP(SettingsWait)
{
    std::string path = "/tmp/lj-settings-wait-" + std::to_string(::getpid()) + ".ini";
    int readyPort = lab::findFreePort();

    void teardown() override { std::remove(this->path.c_str()); }
    void write(const std::string& text) const { std::ofstream(this->path) << text; }

    std::string makeSettings() const
    {
        std::string text = "[instance]\nid = a\nzone = z\n[store]\nendpoint = 127.0.0.1:1\n[ready]\nlisten = 127.0.0.1:" + std::to_string(this->readyPort) + "\n";
        for (const char* section : { "peers", "metrics", "sessions" })
            text += std::string("[") + section + "]\nlisten = 127.0.0.1:" + std::to_string(lab::findFreePort()) + "\n";
        return text;
    }

    bool waitUntilListening(lab::Process & process) const
    {
        httplib::Client client("127.0.0.1", this->readyPort);
        std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
        while (process.isRunning() && std::chrono::steady_clock::now() < end) {
            if (client.Get("/"))
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }
};

// The process ended with code 2 when its settings file was missing, empty or half written at the moment of the start.
TEST(SettingsWait, processWaitsWhileItsSettingsAreBeingWritten)
{
    std::string text = this->makeSettings();
    lab::Process process("./lentiljunction", { "serve", "--settings", this->path }, "/dev/null");
    for (std::size_t length : { std::size_t { 0 }, text.size() / 2, text.size() - 2 }) {
        std::this_thread::sleep_for(writingTime);
        CHECK(process.isRunning());
        this->write(text.substr(0, length));
    }
    std::this_thread::sleep_for(writingTime);
    this->write(text);
    CHECK(this->waitUntilListening(process));
    process.signal(SIGTERM);
    LONGS_EQUAL(0, process.wait());
}

// A process that waits for its settings must not wait without end.
TEST(SettingsWait, processEndsWithoutSettings)
{
    lab::Process unanswered("./lentiljunction", { "serve", "--settings", this->path }, "/dev/null");
    LONGS_EQUAL(settingsFault, unanswered.wait());
}
