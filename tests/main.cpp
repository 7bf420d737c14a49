#include <cstdlib>
#include <spdlog/spdlog.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv)
{
    // Its operators new and delete are not safe with several threads.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    if (std::getenv("LENTILJUNCTION_TEST_LOGS") == nullptr)
        spdlog::set_level(spdlog::level::off);

    // The same verdict on every run; set RC_PARAMS to search elsewhere.
    constexpr int keepExisting = 0;
    ::setenv("RC_PARAMS", "seed=20261204 max_success=300", keepExisting);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
