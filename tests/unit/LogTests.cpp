#include "../../src/core/NonBlockingSink.h"

#include <spdlog/logger.h>
#include <string>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

std::string readAvailable(int descriptor)
{
    std::string text;
    char bytes[65536];
    for (ssize_t size = ::read(descriptor, bytes, sizeof bytes); size > 0; size = ::read(descriptor, bytes, sizeof bytes)) {
        text.append(bytes, static_cast<std::size_t>(size));
        if (size < static_cast<ssize_t>(sizeof bytes))
            break;
    }
    return text;
}

} // namespace

TEST_GROUP(NonBlockingSink)
{
    int ends[2] { -1, -1 };

    void setup() override { CHECK_EQUAL(0, ::pipe(ends)); }
    void teardown() override
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
};

TEST(NonBlockingSink, dropsAndCountsLinesWhenReaderStalls)
{
    spdlog::logger logger("test", std::make_shared<NonBlockingSink>(ends[1]));
    logger.set_level(spdlog::level::trace);
    logger.set_pattern("%v");
    std::string line(1000, 'x');
    // This is far more than the pipe's buffer holds; a blocking write would never return.
    for (int index = 0; index < 2000; index++)
        logger.info(line);
    std::string seen = readAvailable(ends[0]);
    CHECK(seen.size() < 2000 * 1001);
    logger.info("after");
    logger.info("last");
    std::string later = readAvailable(ends[0]);
    STRCMP_CONTAINS("name=lines_omitted of=all lines=", later.c_str());
    STRCMP_CONTAINS("last\n", later.c_str());
}
