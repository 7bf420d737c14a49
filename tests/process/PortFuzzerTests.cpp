#include "../../tools/lab/PortFuzzer.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <unistd.h>

using namespace lentiljunction;

TEST_GROUP(PortFuzzer) {};

// Bytes on any port that end the process, keep it busy, fill its memory, or reach the rows of another session.
TEST(PortFuzzer, damagedBytesOnEveryPortDisturbNoOtherCaller)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-fuzz-" + std::to_string(::getpid()))).string();
    nlohmann::json report = lab::fuzzPorts({ 1, std::chrono::seconds(4) }, ".", folder);
    CHECK_TEXT(report["violations"].empty(), report["violations"].dump(2).c_str());
    for (const char* port : { "sessions", "readiness", "peers", "lending", "metrics", "quota" })
        CHECK_TEXT(report["counts"].value(port, 0) > 0, port);
    CHECK_TRUE(report["counts"].value("caller served", 0) > 0);
    std::filesystem::remove_all(folder);
}
