#include "Measurements.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace {

using namespace lentiljunction::capacity;

constexpr int usageCode = 2;

nlohmann::json measure(const std::string& what, const std::string& binaries, const std::string& folder)
{
    if (what == "membership")
        return measureMembership();
    if (what == "storms")
        return measureMembershipStorms();
    if (what == "bundle")
        return measureBundle();
    if (what == "sessions")
        return measureSessions(binaries, folder);
    if (what == "statements")
        return measureStatements(binaries, folder);
    if (what == "writes")
        return measureWrites(binaries, folder);
    if (what == "groups")
        return measureGroups(binaries, folder);
    if (what == "store")
        return measureStore(binaries, folder);
    return nullptr;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("lj-capacity", "Measures slopes for docs/CAPACITY.md. Each has at least four sizes.");
    options.positional_help("WHAT: membership, storms, bundle, sessions, statements, writes, groups or store");
    options.add_options()("what", "what to measure", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("out", "receives the result as JSON", cxxopts::value<std::string>());
    options.add_options()("help", "print this help");
    options.parse_positional({ "what" });
    cxxopts::ParseResult arguments = options.parse(argc, argv);

    std::string binaries = std::filesystem::path(argv[0]).parent_path().string();
    std::string folder = (std::filesystem::temp_directory_path() / ("lentiljunction-capacity-" + std::to_string(::getpid()))).string();
    nlohmann::json report = measure(arguments["what"].as<std::string>(), binaries.empty() ? "." : binaries, folder);
    if (report.is_null()) {
        std::cout << options.help();
        return arguments.count("help") > 0 ? 0 : usageCode;
    }
    std::cout << report.dump(2) << "\n";
    if (arguments.count("out") > 0)
        std::ofstream(arguments["out"].as<std::string>()) << report.dump(2) << "\n";
    return report.contains("error") ? 1 : 0;
}
