#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using lab::isServed;
using lab::LineCaller;

namespace {

/// @returns whether each instance serves a write, and an instance that starts now serves the database
bool servesAfterRestart(GatewayFixture& fixture)
{
    for (std::size_t index : { std::size_t(0), std::size_t(1) }) {
        if (!waitUntil([&] { return isServed(LineCaller(fixture.getPort(index), "bookings").execute("WRITE item" + std::to_string(index) + " v")); }))
            return false;
    }
    fixture.kill(1);
    std::size_t started = fixture.startInstance();
    return waitUntil([&] { return isServed(LineCaller(fixture.getPort(started), "bookings").execute("WRITE later v")); });
}

/// Puts entries that end other brackets than their own, or leave some open, before, between and after the upstreams.
void putUnmatchedEntries(GatewayFixture& fixture)
{
    const std::vector<std::string> specs { R"([1,{"a":2)", R"("a)", "1}", "1]", R"({"a":[1})", "1}}", R"(\")", "1}]", "2]]", "[[2", R"(b")" };
    for (std::size_t index = 0; index < specs.size(); index++) {
        for (const char* prefix : { "a", "u1-", "z" })
            fixture.getStore().putRaw("servers", prefix + std::to_string(index), specs[index]);
    }
    fixture.getStore().putRaw("lentiljunction-instances", "a", "[1");
    fixture.getStore().putRaw("config", "odd", "{");
}

} // namespace

TEST_GROUP(GatewayForeignEntries) {};

/// Entries of another writer that name no upstream.
std::vector<std::string> listOddSpecs(const std::string& group)
{
    constexpr std::size_t numLevels = 1000;
    nlohmann::json valid { { "service", group }, { "address", "127.0.0.1:9" }, { "zone", "z1" }, { "slots", 2 }, { "state", "ready" }, { "db_role", "primary" } };
    std::vector<std::string> specs { "\"\xff\xfe\xfd\"", "\xff\xfe\xfd", R"("\ud800")", R"({"slots":1e400})", R"({"slots":99999999999999999999})", "null", "7", "{}", "[]", std::string(numLevels, '[') + std::string(numLevels, ']') };
    for (const char* address : { "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", "database:80", "" }) {
        nlohmann::json spec = valid;
        spec["address"] = address;
        specs.push_back(spec.dump());
    }
    for (const char* field : { "service", "zone", "slots", "state", "db_role" }) {
        nlohmann::json spec = valid;
        spec[field] = nlohmann::json::array({ 1 });
        specs.push_back(spec.dump());
    }
    return specs;
}

// Another writer leaves arrays within arrays among the upstreams. Guards against instances that end by exceeding their
// stack, again after each start.
TEST(GatewayForeignEntries, deeplyNestedEntryEndsNoInstance)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    constexpr std::size_t numLevels = 400000;
    fixture.getStore().putRaw("servers", "deep", std::string(numLevels, '[') + std::string(numLevels, ']'));
    CHECK_TRUE(servesAfterRestart(fixture));
    // The list is followed as before.
    fixture.report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findPrimary() != "u1"; }));
}

// Another writer leaves entries that cannot be read, with a number too large, or with a port out of range. Guards against
// a list that is no longer followed, and against instances that never get ready, or end, because of one of them.
TEST(GatewayForeignEntries, oddEntriesHideNoUpstream)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    int number = 0;
    for (const std::string& spec : listOddSpecs(fixture.getGroup().getName()))
        fixture.getStore().putRaw("servers", "odd-" + std::to_string(number++), spec);
    CHECK_TRUE(servesAfterRestart(fixture));
    fixture.report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findPrimary() != "u1"; }));
}

// A page of the list ends with entries that cannot be read, or holds no other. Guards against a list that is read again and
// again from the last readable entry, or ends there.
TEST(GatewayForeignEntries, pagesWithoutReadableEntryAreContinued)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    for (const char* name : { "a", "b", "u1 &after=z%\xff", "u2-odd", "u2-odder" })
        fixture.getStore().putRaw("servers", name, "\xff");
    fixture.getStore().putRaw("lentiljunction-instances", "a", "\xff");
    fixture.getStore().setPageSize(1);
    CHECK_TRUE(servesAfterRestart(fixture));
    fixture.report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findPrimary() != "u1"; }));
}

// Another writer leaves entries whose brackets or quotation marks do not match, alone or only with those of a later entry.
// Guards against a list that is unreadable as a whole, or that misses the upstreams between them.
TEST(GatewayForeignEntries, unmatchedBracketsHideNoUpstream)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    putUnmatchedEntries(fixture);
    fixture.configure(2, { "bookings", "later" });
    CHECK_TRUE(fixture.waitUntilServed("later"));
    fixture.report("u1", true, true);
    CHECK_TRUE(waitUntil([&] { return fixture.getGroup().findPrimary() != "u1"; }));
}

// The same entries when no instance runs that knows an earlier list. Guards against an instance that never becomes ready.
TEST(GatewayForeignEntries, unmatchedBracketsDelayNoStart)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    putUnmatchedEntries(fixture);
    fixture.kill(0);
    fixture.kill(1);
    std::size_t started = fixture.startInstance();
    CHECK_TRUE(waitUntil([&] { return isServed(LineCaller(fixture.getPort(started), "bookings").execute("READ item")); }));
}

// The watch of the routes brings a change that cannot be read. Guards against routes that are no longer followed.
TEST(GatewayForeignEntries, unreadableChangeDoesNotStopWatch)
{
    GatewayFixture fixture;
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    fixture.getStore().putRaw("config", "odd", "\xff\xfe");
    fixture.getStore().putRaw("config", "odder", std::string(1000, '[') + std::string(1000, ']'));
    fixture.configure(2, { "bookings", "later" });
    CHECK_TRUE(fixture.waitUntilServed("later"));
}
