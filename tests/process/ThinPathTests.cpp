#include "../../tools/lab/Demo.h"

#include <filesystem>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

TEST_GROUP(ThinPath) {};

TEST(ThinPath, booksAndReadsBackReturnThroughSeparateProcesses)
{
    std::string folder = (std::filesystem::temp_directory_path() / ("lj-thin-" + std::to_string(::getpid()))).string();
    CHECK(lentiljunction::lab::runDemo(".", folder));
    std::filesystem::remove_all(folder);
}
