#include "../../src/gateway/GatewaySettings.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace lentiljunction;

TEST_GROUP(GatewaySettings)
{
    std::string path = "/tmp/lj-gateway-settings-" + std::to_string(::getpid()) + ".ini";
    Failure failure;

    void teardown() override { std::remove(path.c_str()); }

    void write(const std::string& text) { std::ofstream(path) << text; }
};

TEST(GatewaySettings, filledDeploymentTemplateIsValid)
{
    std::ifstream stream(std::string(LENTILJUNCTION_SOURCE_DIR) + "/deploy/node.ini");
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    const std::vector<std::pair<std::string, std::string>> values {
        { "{{node_name}}", "front-1" }, { "{{zone}}", "ba" }, { "{{listen.front}}", "10.1.0.8:8784" }, { "{{listen.ready}}", "10.1.0.8:8785" }, { "{{listen.control}}", "10.1.0.8:8782" },
        { "{{seeds}}", "10.1.0.8:8782,10.2.0.6:8782" }, { "{{ip}}", "10.1.0.8" }, { "{{platform.address}}", "10.200.1.7:8783" }, { "{{bootstrap}}", "true" }, { "{{cloud.address}}", "10.200.0.160:8783" }, { "{{bounds.grace_s}}", "6" }, { "{{limits.max_fds}}", "4300" }, { "{{internal_ports.0}}", "7440" },
        { "{{#bounds.quota_window_s}}", "" }, { "{{/bounds.quota_window_s}}", "" }, { "{{internal_ports.1}}", "7441" }, { "{{bounds.quota_window_s}}", "5" }, { "{{bounds.quota_overage}}", "0.1" }, { "{{bounds.quota_slack}}", "20" }
    };
    for (const std::pair<std::string, std::string>& value : values) {
        std::size_t at = text.find(value.first);
        CHECK_TEXT(at != std::string::npos, value.first.c_str());
        for (; at != std::string::npos; at = text.find(value.first))
            text.replace(at, value.first.size(), value.second);
    }
    STRCMP_EQUAL("", text.find("{{") == std::string::npos ? "" : text.c_str());
    write(text);
    CHECK_TRUE(isGatewayFile(path));
    std::optional<GatewaySettings> settings = loadGatewaySettings(path, failure);
    CHECK_TEXT(settings.has_value(), failure.reason.c_str());
    CHECK_EQUAL(2, settings->seeds.size());
    CHECK_TRUE(settings->isFirstStart);
    CHECK_EQUAL(6000, settings->shutdownGrace.count());
    CHECK_EQUAL(4300, settings->maximumDescriptors.value_or(0));
    CHECK_EQUAL(7440, settings->lending->port);
    CHECK_EQUAL(7441, settings->quota->port);
    CHECK_EQUAL(5000, settings->quotaTolerance.window.count());
    DOUBLES_EQUAL(20, settings->quotaTolerance.slack, 0);
    CHECK_FALSE(settings->discoversCapacity);
    CHECK_FALSE(settings->ejectsUpstreams);
    write(text + "\n[capacity]\ndiscover = true\n[upstream_health]\neject = true\n");
    settings = loadGatewaySettings(path, failure);
    CHECK_TRUE(settings && settings->discoversCapacity && settings->ejectsUpstreams);
}

// Guards against limits that are enforced in a deployment without them, because a section of the template stays.
TEST(GatewaySettings, deploymentWithoutLimitsHasNoQuotaSection)
{
    std::ifstream stream(std::string(LENTILJUNCTION_SOURCE_DIR) + "/deploy/node.ini");
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    std::size_t begin = text.find("{{#bounds.quota_window_s}}");
    std::size_t end = text.find("{{/bounds.quota_window_s}}");
    CHECK(begin != std::string::npos && begin < end);
    text.erase(begin, end - begin);
    CHECK(text.find("quota]") == std::string::npos && text.find("{{internal_ports.1}}") == std::string::npos);
}

TEST(GatewaySettings, reportsAllFaultsTogether)
{
    write("[instance]\nid = a\n[sessions]\nlisten = 10.1.0.8\n[drain]\ngrace_s = soon\n[quota]\noverage = -1\nslack = all\n[odd]\nkey = 1\n[capacity]\ndiscover = 3\n[upstream_health]\neject = yes\n[limits]\ndescriptors = 63\n");
    CHECK_FALSE(loadGatewaySettings(path, failure).has_value());
    for (const char* part : { "[instance] zone", "[sessions] listen = \"10.1.0.8\"", "[drain] grace_s = \"soon\"", "[quota] overage = \"-1\"", "[quota] slack = \"all\"", "[odd] key", "[store] endpoint", "[capacity] discover = \"3\"", "[upstream_health] eject = \"yes\"", "[limits] descriptors = \"63\"" })
        STRCMP_CONTAINS(part, failure.reason.c_str());
}

// A deployment whose grace period was a fraction, or that had no value for an optional setting, did not start.
TEST(GatewaySettings, acceptsFractionsAndEmptyOptionalValues)
{
    const std::string required = "[instance]\nid = a\nzone = z\n[sessions]\nlisten = 10.1.0.8:1\n[ready]\nlisten = 10.1.0.8:2\n[peers]\nlisten = 10.1.0.8:3\n[metrics]\nlisten = 10.1.0.8:4\n[store]\nendpoint = 10.1.0.9:1\n";
    write(required + "[drain]\ngrace_s = 6.5\n[quota]\nwindow_s = 2.25\n");
    std::optional<GatewaySettings> settings = loadGatewaySettings(path, failure);
    CHECK_TEXT(settings.has_value(), failure.reason.c_str());
    CHECK_EQUAL(6500, settings->shutdownGrace.count());
    CHECK_EQUAL(2250, settings->quotaTolerance.window.count());
    write(required + "first_start =\n[peers]\nseeds =\n[lending]\nlisten =\n[promotion]\nendpoint =\n[drain]\ngrace_s =\n[quota]\nwindow_s =\noverage =\nslack =\n[capacity]\ndiscover =\n[upstream_health]\neject =\n");
    settings = loadGatewaySettings(path, failure);
    CHECK_TEXT(settings.has_value(), failure.reason.c_str());
    CHECK(!settings->isFirstStart && settings->seeds.empty() && !settings->lending);
    CHECK_EQUAL(GatewaySettings().shutdownGrace.count(), settings->shutdownGrace.count());
    CHECK_EQUAL(GatewaySettings().quotaTolerance.window.count(), settings->quotaTolerance.window.count());
}

// A line of more than 200 bytes, as of many seeds, was cut and its rest reported as malformed; so the process did not start.
TEST(GatewaySettings, acceptsLongLinesAndLineEndsOfOtherSystems)
{
    std::string seeds = "10.1.0.1:8782";
    for (int number = 2; number < 200; number++)
        seeds += ", 10.1.0." + std::to_string(number) + ":8782";
    std::string zone(1000, 'z');
    write("\xEF\xBB\xBF[instance]\r\nid = a;b#c\r\nzone = " + zone + "\r\n[sessions]\r\nlisten = 10.1.0.8:1\r\n[ready]\r\nlisten = 10.1.0.8:2\r\n[peers]\r\nlisten = 10.1.0.8:3\r\nseeds = " + seeds + "\r\n[metrics]\r\nlisten = 10.1.0.8:4\r\n[store]\r\nendpoint = 10.1.0.9:1\r\n");
    std::optional<GatewaySettings> settings = loadGatewaySettings(path, failure);
    CHECK_TEXT(settings.has_value(), failure.reason.c_str());
    CHECK_EQUAL(199, settings->seeds.size());
    STRCMP_EQUAL(zone.c_str(), settings->zone.toString().c_str());
    STRCMP_EQUAL("a;b#c", settings->instance.toString().c_str());
}

// A name instead of an address can never be opened, so it is a fault of the settings and not a port that is held.
TEST(GatewaySettings, rejectsNamesAsListeningAddresses)
{
    write("[instance]\nid = a\nzone = z\n[sessions]\nlisten = front:1\n[ready]\nlisten = 10.1.0:2\n");
    CHECK_FALSE(loadGatewaySettings(path, failure).has_value());
    for (const char* part : { "[sessions] listen = \"front:1\"", "[ready] listen = \"10.1.0:2\"" })
        STRCMP_CONTAINS(part, failure.reason.c_str());
}
