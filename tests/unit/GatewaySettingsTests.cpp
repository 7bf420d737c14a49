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
        { "{{seeds}}", "10.1.0.8:8782,10.2.0.6:8782" }, { "{{ip}}", "10.1.0.8" }, { "{{platform.address}}", "10.200.1.7:8783" }, { "{{bootstrap}}", "true" }, { "{{cloud.address}}", "10.200.0.160:8783" }, { "{{bounds.grace_s}}", "6" }, { "{{internal_ports.0}}", "7440" },
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
    write("[instance]\nid = a\n[sessions]\nlisten = 10.1.0.8\n[drain]\ngrace_s = soon\n[quota]\noverage = -1\nslack = all\n[odd]\nkey = 1\n[capacity]\ndiscover = 3\n[upstream_health]\neject = yes\n");
    CHECK_FALSE(loadGatewaySettings(path, failure).has_value());
    for (const char* part : { "[instance] zone", "[sessions] listen = \"10.1.0.8\"", "[drain] grace_s = \"soon\"", "[quota] overage = \"-1\"", "[quota] slack = \"all\"", "[odd] key", "[store] endpoint", "[capacity] discover = \"3\"", "[upstream_health] eject = \"yes\"" })
        STRCMP_CONTAINS(part, failure.reason.c_str());
}
