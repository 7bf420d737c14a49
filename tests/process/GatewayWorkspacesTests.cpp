#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace lentiljunction;
using lab::contains;
using lab::isServed;
using lab::LineCaller;
using standin::PlatformStore;

namespace {

constexpr std::chrono::seconds keyLimit { 5 };
constexpr std::chrono::seconds callerTimeout { 10 };

/// @returns the response to a startup with a key
std::string openWith(const GatewayFixture& fixture, std::size_t instance, const std::string& key, const std::string& database = "bookings")
{
    return LineCaller(fixture.getPort(instance), database, callerTimeout, key).getStartupResponse();
}

/// Instances with two workspaces: "alpha" with the keys "alpha-old" and "alpha-new", and "beta" with "beta-key".
class WorkspaceSite {
public:
    explicit WorkspaceSite(int numInstances = 2)
        : fixture(numInstances)
        , numInstances(static_cast<std::size_t>(numInstances))
    {
        CHECK_TRUE(this->fixture.waitUntilServed("bookings"));
        this->configure({ { "alpha", { "alpha-old", "alpha-new" } }, { "beta", { "beta-key" } } });
        CHECK_TRUE(this->waitUntilRefused("nobody", keyLimit));
    }

    void configure(const std::map<std::string, std::vector<std::string>>& keys)
    {
        this->fixture.getSite().setWorkspaces(keys);
        this->fixture.getSite().configure(++this->version, { "bookings", "checks" });
    }

    /// Waits until the first two instances know each other. One that loses the store before has nobody to ask.
    void waitUntilInstancesKnowEachOther()
    {
        for (std::size_t index : { 0U, 1U })
            CHECK_TRUE(waitUntil([&] { return contains(this->fixture.readMetrics(index), "fact=\"instances\"} 2"); }));
    }

    void removeOldKey() { this->configure({ { "alpha", { "alpha-new" } }, { "beta", { "beta-key" } } }); }

    /// @returns whether every instance refuses a key within a time
    bool waitUntilRefused(const std::string& key, Duration limit)
    {
        TimePoint end = SystemClock().now() + limit;
        for (std::size_t index = 0; index < this->numInstances;) {
            if (contains(openWith(this->fixture, index, key), "ERR AUTHFAIL"))
                index++;
            else if (SystemClock().now() > end)
                return false;
            else
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return true;
    }

    GatewayFixture fixture;

private:
    std::size_t numInstances;
    std::uint64_t version = 1;
};

} // namespace

TEST_GROUP(GatewayWorkspaces) {};

// A caller without a valid key must not cause work at an upstream, and must learn so at once.
TEST(GatewayWorkspaces, unknownKeyIsRefusedAndConnectionClosed)
{
    WorkspaceSite site;
    LineCaller caller(site.fixture.getPort(0), "bookings", callerTimeout, "secret-of-nobody");
    STRCMP_CONTAINS("ERR AUTHFAIL", caller.getStartupResponse().c_str());
    STRCMP_EQUAL("", caller.execute("WRITE refused v").c_str());
    CHECK_EQUAL(0, site.fixture.getGroup().countCommits("refused"));
    for (const char* key : { "alpha-old", "alpha-new", "beta-key" })
        CHECK_TRUE(isServed(LineCaller(site.fixture.getPort(1), "bookings", callerTimeout, key).execute("READ a")));
    std::string metrics = site.fixture.readMetrics(0);
    STRCMP_CONTAINS("lentiljunction_key_refusals_total{reason=\"unknown\"}", metrics.c_str());
    CHECK_FALSE(contains(metrics, "secret-of-nobody"));
}

// Sessions stay open for hours, so a removed key must be noticed at every step of an open session.
TEST(GatewayWorkspaces, removedKeyIsRefusedAtEachStepOfOpenSession)
{
    WorkspaceSite site;
    std::uint16_t port = site.fixture.getPort(0);
    LineCaller idle(port, "bookings", callerTimeout, "alpha-old");
    LineCaller untouched(port, "bookings", callerTimeout, "alpha-old");
    LineCaller continuing(port, "bookings", callerTimeout, "alpha-old");
    LineCaller committing(port, "bookings", callerTimeout, "alpha-old");
    LineCaller running(port, "bookings", callerTimeout, "alpha-old");
    LineCaller other(port, "bookings", callerTimeout, "alpha-new");
    STRCMP_CONTAINS("READY T", untouched.execute("BEGIN").c_str());
    for (LineCaller* caller : { &continuing, &committing }) {
        STRCMP_CONTAINS("READY T", caller->execute("BEGIN").c_str());
        CHECK_TRUE(isServed(caller->execute("WRITE removed v")));
    }
    site.fixture.getGroup().setServiceTime(std::chrono::milliseconds(900));
    std::string answer;
    std::thread statement([&] { answer = running.execute("WRITE kept v"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    site.removeOldKey();
    CHECK_TRUE(site.waitUntilRefused("alpha-old", keyLimit));
    statement.join();
    site.fixture.getGroup().setServiceTime(Duration(0));
    // What an upstream has is not aborted; its reply is delivered.
    CHECK_TRUE_TEXT(isServed(answer), answer.c_str());
    for (LineCaller* caller : { &idle, &running, &untouched, &continuing }) {
        STRCMP_CONTAINS("ERR AUTHFAIL", caller->execute("WRITE late v").c_str());
        STRCMP_EQUAL("", caller->execute("READ a").c_str());
    }
    STRCMP_CONTAINS("ERR AUTHFAIL", committing.execute("COMMIT").c_str());
    CHECK_TRUE(isServed(other.execute("WRITE other v")));
    CHECK_EQUAL(0, site.fixture.getGroup().countCommits("removed"));
    CHECK_EQUAL(0, site.fixture.getGroup().countCommits("late"));
    CHECK_EQUAL(1, site.fixture.getGroup().countCommits("kept"));
}

// Connections are shared by sessions, but an upstream must never see a statement of one workspace under another's name.
TEST(GatewayWorkspaces, upstreamsSeeNamesOfWorkspacesAndNoKeys)
{
    WorkspaceSite site;
    for (int round = 0; round < 20; round++) {
        for (const std::pair<const char*, const char*>& workspace : { std::make_pair("alpha", "alpha-old"), std::make_pair("beta", "beta-key"), std::make_pair("alpha", "alpha-new") }) {
            LineCaller caller(site.fixture.getPort(static_cast<std::size_t>(round) % 2), round % 3 == 0 ? "checks" : "bookings", callerTimeout, workspace.second);
            caller.setIdPrefix(standin::LineGroup::makeIdPrefix(workspace.first, workspace.second));
            CHECK_TRUE(isServed(caller.execute("WRITE item v")));
            STRCMP_CONTAINS("READY T", caller.execute("BEGIN").c_str());
            CHECK_TRUE(isServed(caller.execute("READ item")));
            STRCMP_CONTAINS("READY I", caller.execute("COMMIT").c_str());
        }
    }
    std::vector<std::string> wrong = site.fixture.getGroup().listWrongNames();
    CHECK_TEXT(wrong.empty(), wrong.empty() ? "" : wrong.front().c_str());
    std::set<std::string> names = site.fixture.getGroup().listNames();
    for (const char* name : { "alpha", "beta" })
        CHECK_EQUAL_TEXT(1, names.count(name), name);
    for (const char* key : { "alpha-old", "alpha-new", "beta-key", "nobody" })
        CHECK_EQUAL_TEXT(0, names.count(key), key);
}

TEST(GatewayWorkspaces, publicRouteNeedsNoKey)
{
    WorkspaceSite site;
    site.fixture.getSite().setPublicDatabases({ "checks" });
    site.removeOldKey();
    CHECK_TRUE(waitUntil([&] { return openWith(site.fixture, 0, "nobody", "checks") == "READY I -"; }));
    CHECK_TRUE(isServed(LineCaller(site.fixture.getPort(0), "checks", callerTimeout, "nobody").execute("READ a")));
    CHECK_TRUE(isServed(LineCaller(site.fixture.getPort(0), "checks", callerTimeout, "beta-key").execute("READ a")));
    STRCMP_CONTAINS("ERR AUTHFAIL", openWith(site.fixture, 0, "nobody").c_str());
}

// Instances that lose the store learn of removed and added keys from the others, in every way in which it can fail.
TEST(GatewayWorkspaces, instanceWithoutStoreAppliesKeysInTime)
{
    WorkspaceSite site;
    site.waitUntilInstancesKnowEachOther();
    for (PlatformStore::Fault fault : { PlatformStore::Fault::Silent, PlatformStore::Fault::Unavailable }) {
        site.fixture.getStore().setPortFault(0, fault);
        std::this_thread::sleep_for(std::chrono::seconds(2));
        site.configure({ { "alpha", { "alpha-new", "added" } } });
        CHECK_TRUE(site.waitUntilRefused("alpha-old", keyLimit));
        STRCMP_EQUAL("READY I -", openWith(site.fixture, 0, "added").c_str());
        site.fixture.getStore().setPortFault(0, PlatformStore::Fault::None);
        site.configure({ { "alpha", { "alpha-old", "alpha-new" } } });
        CHECK_TRUE(waitUntil([&] { return openWith(site.fixture, 0, "alpha-old") == "READY I -" && openWith(site.fixture, 1, "alpha-old") == "READY I -"; }));
    }
}

// An outage of the store must not stop the callers, and a key that the store may just have added must not be called invalid.
TEST(GatewayWorkspaces, keysStayAcceptedDuringOutageOfStore)
{
    WorkspaceSite site;
    LineCaller caller(site.fixture.getPort(0), "checks", callerTimeout, "alpha-new");
    // An instance that knows no other one cannot tell an outage of the store from its own.
    site.waitUntilInstancesKnowEachOther();
    site.fixture.getStore().setFault(PlatformStore::Fault::Silent);
    TimePoint end = SystemClock().now() + std::chrono::seconds(9);
    while (SystemClock().now() < end) {
        std::string answer = caller.execute("READ a");
        // The primary is verified without the store, which may take a moment.
        CHECK_TRUE_TEXT(isServed(answer) || contains(answer, "no primary") || contains(answer, "fresh enough"), answer.c_str());
        STRCMP_EQUAL("READY I -", openWith(site.fixture, 1, "beta-key").c_str());
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK_TRUE(isServed(caller.execute("READ a")));
    STRCMP_CONTAINS("ERR BUSY", openWith(site.fixture, 0, "nobody").c_str());
    site.fixture.getStore().setFault(PlatformStore::Fault::None);
    CHECK_TRUE(site.waitUntilRefused("nobody", keyLimit));
}

// An instance that reaches neither the store nor another instance cannot know which keys were removed.
TEST(GatewayWorkspaces, instanceCutOffFromStoreAndOthersStopsAcceptingKeys)
{
    WorkspaceSite site;
    LineCaller caller(site.fixture.getPort(0), "checks", callerTimeout, "alpha-old");
    CHECK_TRUE(isServed(caller.execute("READ a")));
    site.fixture.getStore().setPortFault(0, PlatformStore::Fault::Silent);
    site.fixture.kill(1);
    std::this_thread::sleep_for(keyLimit);
    STRCMP_CONTAINS("ERR BUSY", caller.execute("READ a").c_str());
    STRCMP_CONTAINS("ERR BUSY", openWith(site.fixture, 0, "alpha-old").c_str());
    site.fixture.getStore().setPortFault(0, PlatformStore::Fault::None);
    CHECK_TRUE(waitUntil([&] { return isServed(caller.execute("READ a")); }));
}
