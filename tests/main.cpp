#include <cstdlib>
#include <spdlog/spdlog.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv)
{
    // CppUTest's operators new and delete are not thread-safe.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    if (std::getenv("LENTILJUNCTION_TEST_LOGS") == nullptr)
        spdlog::set_level(spdlog::level::off);

    // A fixed seed makes property tests reproducible. Set RC_PARAMS to override it.
    constexpr int keepExisting = 0;
    ::setenv("RC_PARAMS", "seed=20261204 max_success=300", keepExisting);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
