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

/// The program's commands against the store of a cluster.
class Desk {
public:
    Desk()
        : folder((std::filesystem::temp_directory_path() / ("lj-desk-" + std::to_string(::getpid()))).string())
        , cluster(makeDemoSite(), ".", this->folder)
    {
        Failure failure;
        if (!this->cluster.start(failure))
            FAIL(failure.reason.c_str());
        this->write("operator.key", this->cluster.getOperatorKey().privateKey + "\n");
    }

    ~Desk() { std::filesystem::remove_all(this->folder); }
    Desk(const Desk&) = delete;
    Desk& operator=(const Desk&) = delete;

    void write(const std::string& name, const std::string& text) { std::ofstream(this->path(name)) << text; }
    std::string path(const std::string& name) const { return this->folder + "/" + name; }

    /// @returns the exit code; the output stays in `output`
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

    /// @returns whether the first instance has the version in force within half a minute
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

/// Compares exit codes. A macro of the test library would run the command twice.
void checkCode(int expected, int actual, const std::string& output)
{
    if (actual != expected)
        FAIL(("exit code " + std::to_string(actual) + " in place of " + std::to_string(expected) + ": " + output).c_str());
}

} // namespace

TEST_GROUP(Command) {};

TEST(Command, operatorsAreToldClearlyWhatBecameOfTheirBundles)
{
    Desk desk;
    checkCode(0, desk.createVersion(2), desk.output);
    checkCode(3, desk.createVersion(1), desk.output);
    STRCMP_CONTAINS("must be higher", desk.output.c_str());
    checkCode(2, desk.roll(2), desk.output);
    STRCMP_CONTAINS("0 valid approvals of 1", desk.output.c_str());
    checkCode(0, desk.approve(2), desk.output);
    checkCode(0, desk.createVersion(3), desk.output);
    checkCode(0, desk.approve(3), desk.output);
    checkCode(0, desk.roll(3), desk.output);
    checkCode(3, desk.roll(2), desk.output);
    STRCMP_CONTAINS("version 3 is in force", desk.output.c_str());
    checkCode(0, desk.run("bundle status --json --version 3"), desk.output);
    CHECK(nlohmann::json::parse(desk.output).at("in_force").get<bool>());
    checkCode(0, desk.run("bundle diff --version 2"), desk.output);
    STRCMP_CONTAINS("replace /version 2", desk.output.c_str());
    checkCode(0, desk.run("audit --kind bundle_rolled"), desk.output);
    STRCMP_CONTAINS("bundle_rolled operator bundle", desk.output.c_str());

    CHECK(desk.waitForVersion(3));

    desk.cluster.postControl(desk.cluster.getStorePort(), { { "lose_answers", 1 } });
    checkCode(0, desk.createVersion(4), desk.output);
    desk.cluster.postControl(desk.cluster.getStorePort(), { { "down", true } });
    CHECK(desk.roll(4) >= 4);
    checkCode(0, desk.run("status --instance 127.0.0.1:" + std::to_string(desk.cluster.getInstances().front().callerPort)), desk.output);
    STRCMP_CONTAINS("bundle 3", desk.output.c_str());
}

TEST(Command, wrongInputIsRefusedWithItsCode)
{
    Desk desk;
    checkCode(2, desk.run("nonsense"), desk.output);
    checkCode(2, desk.run("check"), desk.output);
    checkCode(2, desk.run("check --settings " + desk.path("missing.ini")), desk.output);
    desk.write("bad.json", "{\"version\":0}");
    checkCode(2, desk.run("check --bundle " + desk.path("bad.json")), desk.output);
    STRCMP_CONTAINS("bundle.operators is missing", desk.output.c_str());
    checkCode(2, desk.run("serve --settings " + desk.path("bad.json")), desk.output);
    checkCode(2, desk.run("bundle roll --colour green"), desk.output);
    checkCode(4, desk.run("status --instance 127.0.0.1:1"), desk.output);
    checkCode(0, desk.run("keys create --out " + desk.path("new.key")), desk.output);
    checkCode(2, desk.run("keys create --out " + desk.path("new.key")), desk.output);
    for (const char* command : { "serve", "check", "status", "version", "keys create", "bundle create", "bundle approve", "bundle roll", "bundle status", "bundle diff", "audit" })
        checkCode(0, desk.run(std::string(command) + " --help"), desk.output);
}
