#include "../../src/gateway/GatewaySettings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <unistd.h>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

using namespace lentiljunction;

namespace {

/// @returns the value at a path such as "bounds.grace_s" or "internal_ports.0", or null
nlohmann::json findValue(const nlohmann::json& fields, std::string path)
{
    std::replace(path.begin(), path.end(), '.', '/');
    nlohmann::json::json_pointer pointer("/" + path);
    return fields.contains(pointer) ? fields.at(pointer) : nlohmann::json();
}

/// Renders a value as the platform does: lists are joined by commas, tables are JSON, and a missing value is empty.
std::string renderValue(const nlohmann::json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (!value.is_array())
        return value.is_null() ? "" : value.dump();
    std::string text;
    for (const nlohmann::json& entry : value)
        text += (text.empty() ? "" : ",") + renderValue(entry);
    return text;
}

/// Fills in the sections and placeholders of the deployment's template.
std::string renderTemplate(std::string text, const nlohmann::json& fields)
{
    for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin)) {
        std::size_t end = text.find("}}", begin) + 2;
        std::string name = text.substr(begin + 2, end - begin - 4);
        if (name.front() != '#') {
            text.replace(begin, end - begin, name.front() == '/' ? "" : renderValue(findValue(fields, name)));
            continue;
        }
        nlohmann::json value = findValue(fields, name.substr(1));
        bool isRendered = !value.is_null() && value != false;
        std::size_t close = text.find("{{/" + name.substr(1) + "}}", end);
        text.erase(begin, (isRendered ? end : close) - begin);
    }
    return text;
}

/// @returns fields of a deployment that enforces limits, with one that is not known yet
nlohmann::json makeFields()
{
    return { { "node_name", "front-1" }, { "zone", "ba" }, { "ip", "10.1.0.8" }, { "bootstrap", true }, { "unknown", { { "new", 1 } } },
        { "zones", { { "ba", "west" } } }, { "seeds", { "10.1.0.8:8782", "10.2.0.6:8782", "10.3.0.7:8782" } }, { "internal_ports", { 7440, 7455 } },
        { "listen", { { "front", "10.1.0.8:8784" }, { "ready", "10.1.0.8:8785" }, { "control", "10.1.0.8:8782" } } },
        { "limits", { { "max_fds", 4300 } } }, { "platform", { { "address", "10.200.1.7:8783" } } }, { "cloud", { { "address", "10.200.0.160:8783" } } },
        { "bounds", { { "grace_s", 6 }, { "quota_window_s", 5 }, { "quota_overage", 0.1 }, { "quota_slack", 20 } } } };
}

} // namespace

TEST_GROUP(GatewaySettings)
{
    std::string path = "/tmp/lj-gateway-settings-" + std::to_string(::getpid()) + ".ini";
    Failure failure;

    void teardown() override { std::remove(path.c_str()); }

    /// Loads the deployment's template with one field of another form.
    std::optional<GatewaySettings> loadWith(const std::string& pointer, const nlohmann::json& value)
    {
        std::ifstream stream(std::string(LENTILJUNCTION_SOURCE_DIR) + "/deploy/node.ini");
        std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
        nlohmann::json fields = makeFields();
        fields[nlohmann::json::json_pointer(pointer)] = value;
        this->write(renderTemplate(text, fields));
        this->failure = Failure();
        return loadGatewaySettings(this->path, this->failure);
    }

    void write(const std::string& text) { std::ofstream(path) << text; }
};

TEST(GatewaySettings, filledDeploymentTemplateIsValid)
{
    std::ifstream stream(std::string(LENTILJUNCTION_SOURCE_DIR) + "/deploy/node.ini");
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    const std::vector<std::pair<std::string, std::string>> values {
        { "{{node_name}}", "front-1" }, { "{{zone}}", "ba" }, { "{{listen.front}}", "10.1.0.8:8784" }, { "{{listen.ready}}", "10.1.0.8:8785" }, { "{{listen.control}}", "10.1.0.8:8782" },
        { "{{seeds}}", "10.1.0.8:8782,10.2.0.6:8782" }, { "{{ip}}", "10.1.0.8" }, { "{{platform.address}}", "10.200.1.7:8783" }, { "{{bootstrap}}", "true" }, { "{{cloud.address}}", "10.200.0.160:8783" }, { "{{bounds.grace_s}}", "6" }, { "{{limits.max_fds}}", "4300" }, { "{{limits.memory_mb}}", "160" }, { "{{limits.link_mbps}}", "10.0" }, { "{{internal_ports.0}}", "7440" },
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
    CHECK_EQUAL(10000000, settings->linkRate.value());
    CHECK_EQUAL(2, settings->seeds.size());
    CHECK_TRUE(settings->isFirstStart);
    CHECK_EQUAL(6000, settings->shutdownGrace.count());
    CHECK_EQUAL(4300, settings->maximumDescriptors.value_or(0));
    CHECK_EQUAL(160, settings->maximumMemory.value_or(0));
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
    write("[instance]\nid = a\n[sessions]\nlisten = 10.1.0.8\n[drain]\ngrace_s = soon\n[quota]\noverage = -1\nslack = all\n[odd]\nkey = 1\n[capacity]\ndiscover = 3\n[upstream_health]\neject = yes\n[limits]\ndescriptors = 63\nmemory = 0\n");
    CHECK_FALSE(loadGatewaySettings(path, failure).has_value());
    for (const char* part : { "[instance] zone", "[sessions] listen = \"10.1.0.8\"", "[drain] grace_s = \"soon\"", "[quota] overage = \"-1\"", "[quota] slack = \"all\"", "[odd] key", "[store] endpoint", "[capacity] discover = \"3\"", "[upstream_health] eject = \"yes\"", "[limits] descriptors = \"63\"", "[limits] memory = \"0\"" })
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

// A deployment whose fields had another form that is allowed, such as a decimal or a small grace period, did not start.
TEST(GatewaySettings, everyAllowedFormOfFieldsIsValid)
{
    const std::vector<std::pair<std::string, std::vector<nlohmann::json>>> forms {
        { "/seeds", { { "10.1.0.8:8782" }, { "10.1.0.8:8782", "10.2.0.6:8782" }, nlohmann::json::array(), nullptr } },
        { "/bootstrap", { true, false, nullptr } },
        { "/cloud", { nullptr, nlohmann::json::object() } },
        { "/unknown", { nlohmann::json::array({ 1, 2 }) } },
        { "/limits/max_fds", { 4300, 4300.0, 64, 1048576, 1e6, nullptr } },
        { "/limits", { nullptr } },
        { "/bounds/grace_s", { 6, 6.0, 6.5, 1, 0.5, 0, 0.001, 601, 3600, 1e4, nullptr } },
        { "/bounds", { nullptr, { { "grace_s", 5 } } } },
        { "/bounds/quota_window_s", { 5, 2.5, 0.5, 0.05, 900, false, nullptr } },
        { "/bounds/quota_overage", { 0, 0.1, 1, 12, 1e-5, nullptr } },
        { "/bounds/quota_slack", { 0, 20, 0.5, 2000000, nullptr } },
    };
    for (const std::pair<std::string, std::vector<nlohmann::json>>& form : forms) {
        for (const nlohmann::json& value : form.second)
            CHECK_TEXT(this->loadWith(form.first, value).has_value(), (form.first + " " + value.dump() + ": " + this->failure.reason).c_str());
    }
    CHECK_EQUAL(4300, this->loadWith("/limits/max_fds", 4300.0)->maximumDescriptors.value_or(0));
    CHECK_EQUAL(500, this->loadWith("/bounds/grace_s", 0.5)->shutdownGrace.count());
    CHECK_FALSE(this->loadWith("/bounds/quota_window_s", nullptr)->quota.has_value());
    CHECK_TRUE(this->loadWith("/seeds", nullptr)->seeds.empty());
}

// Values that no deployment can mean stay faults.
TEST(GatewaySettings, formsThatCannotBeMeantAreFaults)
{
    const std::vector<std::pair<std::string, nlohmann::json>> forms {
        { "/limits/max_fds", 4300.5 }, { "/limits/max_fds", -1 }, { "/bounds/grace_s", -1 }, { "/bounds/grace_s", true }, { "/bounds/quota_window_s", 0 },
        { "/bounds/quota_overage", -0.1 }, { "/bounds/quota_slack", "nan" }, { "/listen/front", nullptr }, { "/zone", nullptr }
    };
    for (const std::pair<std::string, nlohmann::json>& form : forms)
        CHECK_TEXT(!this->loadWith(form.first, form.second), (form.first + " " + form.second.dump()).c_str());
}
