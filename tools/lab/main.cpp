#include "Demo.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <unistd.h>

int main(int argc, char** argv)
{
    cxxopts::Options options("lj-lab", "Starts whole sites on loopback, puts them under load and faults, and measures.");
    options.add_options()("action", "demo", cxxopts::value<std::string>()->default_value("demo"));
    options.add_options()("folder", "receives settings and logs", cxxopts::value<std::string>());
    options.add_options()("help", "this text");
    options.parse_positional({ "action" });
    options.positional_help("ACTION");
    cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }

    std::string binaries = std::filesystem::path(argv[0]).parent_path().string();
    std::string defaultFolder = (std::filesystem::temp_directory_path() / ("lentiljunction-" + std::to_string(::getpid()))).string();
    std::string folder = arguments.count("folder") > 0 ? arguments["folder"].as<std::string>() : defaultFolder;
    return lentiljunction::lab::runDemo(binaries.empty() ? "." : binaries, folder) ? 0 : 1;
}
