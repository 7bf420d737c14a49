#include "Demo.h"
#include "Experiments.h"
#include "GatewaySite.h"
#include "PortFuzzer.h"
#include "Soak.h"
#include "StartCampaign.h"
#include "StopCampaign.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <unistd.h>

namespace {

using namespace lentiljunction::lab;

constexpr int usageCode = 2;

std::optional<SitePlan> findSite(const std::string& name)
{
    if (name == "demo")
        return makeDemoSite();
    if (name == "spona")
        return makeSponaSite();
    if (name == "karadeniz")
        return makeKaradenizSite();
    return std::nullopt;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("lj-lab", "Starts whole sites on loopback, puts them under load and faults, and measures.");
    options.positional_help("ACTION: demo, serve, failover, reads, flood, overload, chaos, lease or policies; on the users' platform: gateway (serve), rest, soak, starts, stops or fuzz");
    options.add_options()("action", "the action to run", cxxopts::value<std::string>()->default_value("demo"));
    options.add_options()("site", "demo, spona or karadeniz", cxxopts::value<std::string>()->default_value("spona"));
    options.add_options()("binaries", "folder of the executables (default: that of this program)", cxxopts::value<std::string>());
    options.add_options()("folder", "folder for settings and logs", cxxopts::value<std::string>());
    options.add_options()("fault", "failover: cut, crash or freeze", cxxopts::value<std::string>()->default_value("cut"));
    options.add_options()("store", "failover: up or down", cxxopts::value<std::string>()->default_value("up"));
    options.add_options()("rounds", "failover, starts, stops: number of rounds", cxxopts::value<int>()->default_value("3"));
    options.add_options()("rank", "flood: the rank that floods", cxxopts::value<std::string>()->default_value("background"));
    options.add_options()("factor", "flood: multiple of the rank's quiet load", cxxopts::value<double>()->default_value("10"));
    options.add_options()("rate", "overload: background requests per second", cxxopts::value<double>()->default_value("30000"));
    options.add_options()("durability", "replicated or primary", cxxopts::value<std::string>()->default_value("replicated"));
    options.add_options()("seed", "chaos, soak, starts, stops, fuzz: seed of the random faults", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("seconds", "chaos, rest, soak, fuzz: duration in seconds", cxxopts::value<int>()->default_value("30"));
    options.add_options()("instances", "soak, starts, stops: number of instances", cxxopts::value<int>()->default_value("5"));
    options.add_options()("zones", "soak: number of availability zones", cxxopts::value<int>()->default_value("3"));
    options.add_options()("restores", "soak: whether the store also returns from older copies")("workspaces", "soak: whether callers have keys of workspaces, which are replaced; not with --restores")("connections", "soak: connections that each upstream accepts", cxxopts::value<int>()->default_value("16"));
    options.add_options()("final-fault", "soak: whether all instances are killed at the end, as without this for a third of the seeds");
    options.add_options()("replacements", "soak: whether half of the instances that are restarted get new ids, and entries of crashed upstreams expire");
    options.add_options()("signals-while-loading", "starts: whether SIGHUP also comes before any code of the program runs");
    options.add_options()("json", "print JSON in place of a table");
    options.add_options()("out", "receives the result as JSON", cxxopts::value<std::string>());
    options.add_options()("help", "print this help");
    options.parse_positional({ "action" });
    return options;
}

/// Prints each value of a result on its own line, except for the timelines and the fault script, which are long.
void printTable(const nlohmann::json& report)
{
    constexpr int width = 64;
    const nlohmann::json flat = report.flatten();
    for (nlohmann::json::const_iterator entry = flat.begin(); entry != flat.end(); ++entry) {
        bool isList = entry.key().find("answers_per_100_ms") != std::string::npos || entry.key().find("/script/") != std::string::npos;
        if (entry.value().is_structured() || isList)
            continue;
        // An empty list is flattened to null.
        std::cout << std::left << std::setw(width) << entry.key().substr(1) << " " << (entry.value().is_null() ? "none" : entry.value().dump()) << "\n";
    }
}

SoakPlan makeSoakPlan(const cxxopts::ParseResult& arguments)
{
    SoakPlan plan;
    plan.seed = arguments["seed"].as<std::uint64_t>();
    plan.seconds = arguments["seconds"].as<int>();
    plan.numInstances = arguments["instances"].as<int>();
    plan.numZones = arguments["zones"].as<int>();
    plan.maximumConnections = arguments["connections"].as<int>();
    plan.restoresStore = arguments.count("restores") > 0;
    plan.hasWorkspaces = arguments.count("workspaces") > 0;
    plan.hasFinalFault = arguments.count("final-fault") > 0;
    plan.replacesInstances = arguments.count("replacements") > 0;
    return plan;
}

std::optional<nlohmann::json> runExperiment(const cxxopts::ParseResult& arguments, const ExperimentConfig& setting)
{
    std::string action = arguments["action"].as<std::string>();
    std::optional<PrimaryFault> fault = parsePrimaryFault(arguments["fault"].as<std::string>());
    if (action == "failover" && fault)
        return measureFailover(setting, *fault, arguments["store"].as<std::string>() == "down", arguments["rounds"].as<int>());
    if (action == "reads")
        return measureReads(setting);
    if (action == "flood")
        return measureFlood(setting, arguments["rank"].as<std::string>(), arguments["factor"].as<double>());
    if (action == "policies")
        return comparePolicies(setting);
    if (action == "lease")
        return measureLease(setting);
    if (action == "overload")
        return measureOverload(setting, arguments["rate"].as<double>());
    if (action == "rest")
        return measureIdleGateway(setting.binaries, setting.folder, arguments["seconds"].as<int>());
    if (action == "soak")
        return runSoak(makeSoakPlan(arguments), setting.binaries, setting.folder);
    if (action == "starts")
        return runStartCampaign({ arguments["seed"].as<std::uint64_t>(), arguments["rounds"].as<int>(), arguments["instances"].as<int>(), arguments.count("signals-while-loading") > 0 }, setting.binaries, setting.folder);
    if (action == "fuzz")
        return fuzzPorts({ arguments["seed"].as<std::uint64_t>(), std::chrono::seconds(arguments["seconds"].as<int>()) }, setting.binaries, setting.folder);
    if (action == "stops")
        return runStopCampaign({ arguments["seed"].as<std::uint64_t>(), arguments["rounds"].as<int>(), arguments["instances"].as<int>() }, setting.binaries, setting.folder);
    if (action == "chaos")
        return measureChaos(setting, arguments["seed"].as<std::uint64_t>(), arguments["seconds"].as<int>());
    return std::nullopt;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = makeOptions();
    cxxopts::ParseResult arguments = options.parse(argc, argv);
    std::optional<SitePlan> site = findSite(arguments["site"].as<std::string>());
    if (arguments.count("help") > 0 || !site) {
        std::cout << options.help();
        return site ? 0 : usageCode;
    }

    std::string binaries = arguments.count("binaries") > 0 ? arguments["binaries"].as<std::string>() : std::filesystem::path(argv[0]).parent_path().string();
    std::string defaultFolder = (std::filesystem::temp_directory_path() / ("lentiljunction-" + std::to_string(::getpid()))).string();
    ExperimentConfig setting { *site, binaries.empty() ? "." : binaries, arguments.count("folder") > 0 ? arguments["folder"].as<std::string>() : defaultFolder };
    setting.site.durability = arguments["durability"].as<std::string>();
    if (arguments["action"].as<std::string>() == "demo")
        return runDemo(setting.binaries, setting.folder) ? 0 : 1;
    if (arguments["action"].as<std::string>() == "serve")
        return serveSite(setting.site, setting.binaries, setting.folder) ? 0 : 1;

    if (arguments["action"].as<std::string>() == "gateway")
        return runGatewaySite(setting.binaries, setting.folder) ? 0 : 1;

    std::optional<nlohmann::json> report = runExperiment(arguments, setting);
    if (!report) {
        std::cerr << options.help();
        return usageCode;
    }
    if (arguments.count("json") > 0)
        std::cout << report->dump(2) << "\n";
    else
        printTable(*report);
    if (arguments.count("out") > 0)
        std::ofstream(arguments["out"].as<std::string>()) << report->dump(2) << "\n";
    bool hasViolations = report->contains("violations") && !(*report)["violations"].empty();
    return report->contains("error") || hasViolations ? 1 : 0;
}
