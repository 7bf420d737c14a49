#include "../../tools/lab/Cluster.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::lab;

namespace {

/// Starts a cluster and runs the program's commands against its store.
class CommandFixture {
public:
    CommandFixture()
        : folder((std::filesystem::temp_directory_path() / ("lj-desk-" + std::to_string(::getpid()))).string())
        , cluster(makeDemoSite(), ".", this->folder)
    {
        Failure failure;
        if (!this->cluster.start(failure))
            FAIL(failure.reason.c_str());
        this->write("operator.key", this->cluster.getOperatorKey().privateKey + "\n");
    }

    ~CommandFixture() { std::filesystem::remove_all(this->folder); }
    CommandFixture(const CommandFixture&) = delete;
    CommandFixture& operator=(const CommandFixture&) = delete;

    void write(const std::string& name, const std::string& text) { std::ofstream(this->path(name)) << text; }
    std::string path(const std::string& name) const { return this->folder + "/" + name; }

    /// Runs a command and stores its output in `output`.
    ///
    /// @returns the exit code
    int run(const std::string& line)
    {
        std::vector<std::string> arguments;
        std::istringstream words(line);
        std::string word;
        while (words >> word)
            arguments.push_back(word);
        bool needsSettings = arguments.front() == "bundle" || arguments.front() == "audit";
        if (needsSettings)
            arguments.insert(arguments.end(), { "--settings", this->cluster.getInstances().front().settingsPath });

        std::filesystem::remove(this->path("output"));
        Process process("./lentiljunction", arguments, this->path("output"));
        int code = process.wait();
        std::ifstream stream(this->path("output"));
        std::ostringstream text;
        text << stream.rdbuf();
        this->output = text.str();
        return code;
    }

    int createVersion(std::uint64_t version)
    {
        std::string name = "bundle-" + std::to_string(version) + ".json";
        this->write(name, this->cluster.makeBundle(version).dump());
        return this->run("bundle create --operator operator --file " + this->path(name));
    }

    int approve(std::uint64_t version) { return this->run("bundle approve --operator operator --key " + this->path("operator.key") + " --version " + std::to_string(version)); }
    int roll(std::uint64_t version) { return this->run("bundle roll --operator operator --version " + std::to_string(version)); }

    /// @returns whether the first instance has the version in force within 30 s
    bool waitForVersion(std::uint64_t version)
    {
        constexpr int numTries = 600;
        for (int count = 0; count < numTries; count++) {
            if (this->cluster.getBundleVersion(this->cluster.getInstances().front()) == version)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    std::string folder;
    Cluster cluster;
    std::string output;
};

/// Compares exit codes. CHECK_EQUAL would evaluate its argument twice and so run the command twice.
void checkCode(int expected, int actual, const std::string& output)
{
    if (actual != expected)
        FAIL(("exit code " + std::to_string(actual) + " instead of " + std::to_string(expected) + ": " + output).c_str());
}

} // namespace

TEST_GROUP(Command) {};

TEST(Command, reportsResultOfEachBundleCommand)
{
    CommandFixture fixture;
    checkCode(0, fixture.createVersion(2), fixture.output);
    checkCode(3, fixture.createVersion(1), fixture.output);
    STRCMP_CONTAINS("must be higher", fixture.output.c_str());
    checkCode(2, fixture.roll(2), fixture.output);
    STRCMP_CONTAINS("0 valid approvals of 1", fixture.output.c_str());
    checkCode(0, fixture.approve(2), fixture.output);
    checkCode(0, fixture.createVersion(3), fixture.output);
    checkCode(0, fixture.approve(3), fixture.output);
    checkCode(0, fixture.roll(3), fixture.output);
    checkCode(3, fixture.roll(2), fixture.output);
    STRCMP_CONTAINS("version 3 is in force", fixture.output.c_str());
    checkCode(0, fixture.run("bundle status --json --version 3"), fixture.output);
    CHECK(nlohmann::json::parse(fixture.output).at("in_force").get<bool>());
    checkCode(0, fixture.run("bundle diff --version 2"), fixture.output);
    STRCMP_CONTAINS("replace /version 2", fixture.output.c_str());
    checkCode(0, fixture.run("audit --kind bundle_rolled"), fixture.output);
    STRCMP_CONTAINS("bundle_rolled operator bundle", fixture.output.c_str());

    CHECK(fixture.waitForVersion(3));

    fixture.cluster.postControl(fixture.cluster.getStorePort(), { { "lose_answers", 1 } });
    checkCode(0, fixture.createVersion(4), fixture.output);
    fixture.cluster.postControl(fixture.cluster.getStorePort(), { { "down", true } });
    CHECK(fixture.roll(4) >= 4);
    checkCode(0, fixture.run("status --instance 127.0.0.1:" + std::to_string(fixture.cluster.getInstances().front().callerPort)), fixture.output);
    STRCMP_CONTAINS("bundle 3", fixture.output.c_str());
}

TEST(Command, rejectsInvalidInputWithExitCode)
{
    CommandFixture fixture;
    checkCode(2, fixture.run("nonsense"), fixture.output);
    checkCode(2, fixture.run("check"), fixture.output);
    checkCode(2, fixture.run("check --settings " + fixture.path("missing.ini")), fixture.output);
    fixture.write("bad.json", "{\"version\":0}");
    checkCode(2, fixture.run("check --bundle " + fixture.path("bad.json")), fixture.output);
    STRCMP_CONTAINS("bundle.operators is missing", fixture.output.c_str());
    checkCode(2, fixture.run("serve --settings " + fixture.path("bad.json")), fixture.output);
    checkCode(2, fixture.run("bundle roll --colour green"), fixture.output);
    checkCode(4, fixture.run("status --instance 127.0.0.1:1"), fixture.output);
    checkCode(0, fixture.run("keys create --out " + fixture.path("new.key")), fixture.output);
    checkCode(2, fixture.run("keys create --out " + fixture.path("new.key")), fixture.output);
    for (const char* command : { "serve", "check", "status", "version", "keys create", "bundle create", "bundle approve", "bundle roll", "bundle status", "bundle diff", "audit" })
        checkCode(0, fixture.run(std::string(command) + " --help"), fixture.output);
}
