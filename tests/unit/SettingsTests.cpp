#include "lentiljunction/audit/AuditTrail.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/settings/Settings.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

const std::string validSettings = "[instance]\nid = a\nzone = z\n[callers]\naddress = 127.0.0.1\nport = 8080\n[peers]\naddress = 127.0.0.1\nport = 9000\nseed.b = z@127.0.0.1:9001\n"
                                  "[store]\naddress = 127.0.0.1\nport = 7000\n[trust]\nthreshold = 1\nkey.ayse = "
    + std::string(64, 'a') + "\n";

/// Creates a settings file and removes it in the destructor.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& text)
        : path((std::filesystem::temp_directory_path() / ("lj-settings-" + std::to_string(::getpid()) + ".ini")).string())
    {
        std::ofstream(this->path) << text;
    }

    ~TemporaryFile() { std::remove(this->path.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    const std::string path;
};

std::string readAll(const std::string& path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

TEST_GROUP(Settings)
{
    Failure failure;
};

TEST(Settings, loadsValidFile)
{
    TemporaryFile file(validSettings);
    std::optional<Settings> settings = loadSettings(file.path, failure);
    CHECK(settings.has_value());
    CHECK_EQUAL(1, settings->seeds.size());
    CHECK_EQUAL(9000, settings->advertised.port);
}

TEST(Settings, reportsAllErrorsTogether)
{
    std::string invalidSettings = validSettings;
    invalidSettings.replace(invalidSettings.find("port = 8080"), 11, "port = many");
    invalidSettings.replace(invalidSettings.find("zone = z"), 8, "zone = a b");
    invalidSettings.replace(invalidSettings.find("threshold = 1"), 13, "threshold = 4");
    invalidSettings += "[store]\nport = 7001\n[kitchen]\nlamp = on\n";
    TemporaryFile file(invalidSettings);
    CHECK_FALSE(loadSettings(file.path, failure).has_value());
    for (const char* part : { "[callers] port = \"many\"", "[instance] zone = \"a b\"", "[trust] threshold = \"4\"", "stands twice", "[kitchen] lamp", "65535" })
        STRCMP_CONTAINS(part, failure.reason.c_str());
}

TEST(Settings, loadsExampleFilesOfManual)
{
    for (const char* name : { "spona-ba-1.ini", "karadeniz-bursa-1.ini" }) {
        std::string path = std::string(LENTILJUNCTION_SOURCE_DIR) + "/docs/operating/examples/" + name;
        if (!loadSettings(path, failure))
            FAIL(failure.reason.c_str());
    }
}

TEST_GROUP(Endpoints) {};

TEST(Endpoints, parsesValidEndpointAndRejectsMissingHostOrInvalidPort)
{
    Failure failure;
    std::optional<Endpoint> endpoint = parseEndpoint("10.1.0.8:65535", failure);
    CHECK_TRUE(endpoint.has_value());
    STRCMP_EQUAL("10.1.0.8", endpoint->host.c_str());
    CHECK_EQUAL(65535, endpoint->port);
    for (const char* bad : { "", ":", ":80", "10.1.0.8", "10.1.0.8:", "10.1.0.8:0", "10.1.0.8:65536", "10.1.0.8:+8", "10.1.0.8:8x", "10.1.0.8: 8" }) {
        CHECK_FALSE_TEXT(parseEndpoint(bad, failure).has_value(), bad);
        STRCMP_CONTAINS(("\"" + std::string(bad) + "\"").c_str(), failure.reason.c_str());
    }
}

TEST_GROUP(LogEvents) {};

TEST(LogEvents, eventCatalogueInManualMatchesCode)
{
    std::string page = readAll(std::string(LENTILJUNCTION_SOURCE_DIR) + "/docs/EVENTS.md");
    std::string expected;
    int previous = 0;
    for (const LogEvent& event : getAllLogEvents()) {
        CHECK(event.number > previous);
        previous = event.number;
        expected += "| " + std::to_string(event.number) + " | " + event.name + " | " + event.meaning + " |\n";
    }
    if (page.find(expected) == std::string::npos)
        FAIL(("docs/EVENTS.md must hold these rows:\n" + expected).c_str());
}

TEST_GROUP(AuditTrail) {};

TEST(AuditTrail, keepsRecordsDuringOutageAndWritesThemOnce)
{
    ManualClock clock;
    AuditTrail trail("a");
    trail.add({ {}, AuditKind::Promotion, "", "db-a", "failed", "u1", "u2" }, clock.wallNow());
    std::optional<AuditTrail::Batch> first = trail.makeBatch(clock.now(), clock.wallNow());
    CHECK(first.has_value());
    CHECK_FALSE(trail.makeBatch(clock.now(), clock.wallNow()).has_value());

    trail.onBatchWritten(false);
    clock.advance(std::chrono::seconds(60));
    trail.add({ {}, AuditKind::GateMove, "", "u1", "", "", "" }, clock.wallNow());
    std::optional<AuditTrail::Batch> again = trail.makeBatch(clock.now(), clock.wallNow());
    STRCMP_EQUAL(first->key.c_str(), again->key.c_str());
    STRCMP_EQUAL(first->value.c_str(), again->value.c_str());

    trail.onBatchWritten(true);
    clock.advance(std::chrono::seconds(60));
    std::optional<AuditTrail::Batch> second = trail.makeBatch(clock.now(), clock.wallNow());
    CHECK(second->key != first->key);
    CHECK_EQUAL(1, nlohmann::json::parse(second->value).size());
}
