#include "../../tools/lab/Process.h"
#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace lentiljunction;

namespace {

/// Runs `lentiljunction route`.
struct RouteRun {
    explicit RouteRun(std::vector<std::string> arguments)
    {
        std::string path = (std::filesystem::temp_directory_path() / ("lj-route-" + std::to_string(::getpid()))).string();
        arguments.insert(arguments.begin(), "route");
        this->code = lab::Process("./lentiljunction", arguments, path).wait();
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        this->output = text.str();
        std::filesystem::remove(path);
    }

    int code = 0;
    std::string output;
};

std::string toText(const Endpoint& endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

} // namespace

TEST_GROUP(RouteCommand) {};

TEST(RouteCommand, explainsRunningInstance)
{
    GatewayFixture fixture(1);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    std::string address = toText(fixture.getMetricsEndpoint(0));
    RouteRun write({ "--instance", address, "--database", "bookings", "--statement", "write" });
    CHECK_EQUAL(0, write.code);
    STRCMP_CONTAINS("write on bookings at instance front-1 in zone z1", write.output.c_str());
    STRCMP_CONTAINS("decision: sent to u1", write.output.c_str());
    STRCMP_CONTAINS("only the primary may serve the statement", write.output.c_str());

    RouteRun read({ "--instance", address, "--database", "bookings", "--json" });
    CHECK_EQUAL(0, read.code);
    nlohmann::json answer = nlohmann::json::parse(read.output);
    STRCMP_EQUAL("send", answer["decision"]["action"].get<std::string>().c_str());
    CHECK_EQUAL(3, answer["upstreams"].size());
    STRCMP_CONTAINS("lentiljunction_", fixture.readMetrics(0).c_str());
}

// Scripts act on the exit code: 1 for the question, 2 for the command line, 4 for the instance.
TEST(RouteCommand, failsClearly)
{
    GatewayFixture fixture(1);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    std::string address = toText(fixture.getMetricsEndpoint(0));
    RouteRun unknown({ "--instance", address, "--database", "nowhere" });
    CHECK_EQUAL(1, unknown.code);
    STRCMP_CONTAINS("error: no route leads to the database nowhere", unknown.output.c_str());
    // The bytes are no valid UTF-8, which must not end the instance.
    CHECK_EQUAL(1, RouteRun({ "--instance", address, "--database", "\xff\xfe" }).code);
    CHECK_EQUAL(0, RouteRun({ "--instance", address, "--database", "bookings" }).code);

    CHECK_EQUAL(2, RouteRun({ "--instance", address }).code);
    CHECK_EQUAL(2, RouteRun({ "--database", "bookings" }).code);
    CHECK_EQUAL(2, RouteRun({ "--instance", "nonsense", "--database", "bookings" }).code);
    CHECK_EQUAL(2, RouteRun({ "--instance", address, "--database", "bookings", "--statement", "drop" }).code);
    CHECK_EQUAL(2, RouteRun({ "--instance", address, "--database", "bookings", "stray" }).code);
    CHECK_EQUAL(2, RouteRun({ "--instance", address, "--database", "bookings", "--colour" }).code);

    RouteRun silent({ "--instance", "127.0.0.1:1", "--database", "bookings" });
    CHECK_EQUAL(4, silent.code);
    STRCMP_CONTAINS("the instance at 127.0.0.1:1 does not answer", silent.output.c_str());
    RouteRun wrongPort({ "--instance", "127.0.0.1:" + std::to_string(fixture.getPort(0)), "--database", "bookings" });
    CHECK_EQUAL(4, wrongPort.code);
}
