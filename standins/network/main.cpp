#include "Relay.h"

#include <cxxopts.hpp>
#include <httplib.h>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using lentiljunction::standins::ForwardedPort;
using lentiljunction::standins::Relay;

constexpr int httpBadRequest = 400;

/// Parses comma-separated "listen:target:zone" items.
std::vector<ForwardedPort> parsePorts(const std::string& text)
{
    std::vector<ForwardedPort> ports;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        std::istringstream parts(item);
        std::string listen;
        std::string target;
        std::string zone;
        if (std::getline(parts, listen, ':') && std::getline(parts, target, ':') && std::getline(parts, zone))
            ports.push_back({ static_cast<std::uint16_t>(std::stoi(listen)), static_cast<std::uint16_t>(std::stoi(target)), zone });
    }
    return ports;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("lj-standin-network", "The network between availability zones for tests: delay, loss, cuts, silent connections.");
    options.add_options()("address", "IP number", cxxopts::value<std::string>()->default_value("127.0.0.1"));
    options.add_options()("links", "listen-port:target-port:zone,...", cxxopts::value<std::string>());
    options.add_options()("control-port", "port for faults", cxxopts::value<int>());
    options.add_options()("help", "this text");
    cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }

    asio::io_context context;
    Relay relay(context, arguments["address"].as<std::string>());
    for (const ForwardedPort& port : parsePorts(arguments["links"].as<std::string>()))
        relay.addPort(port);

    httplib::Server control;
    control.Post("/control", [&](const httplib::Request& request, httplib::Response& response) {
        nlohmann::json change = nlohmann::json::parse(request.body, nullptr, false);
        if (!change.is_object()) {
            response.status = httpBadRequest;
            return;
        }
        asio::post(context, [&relay, change] { relay.apply(change); });
        response.set_content("{}", "application/json");
    });
    std::thread([&] { control.listen(arguments["address"].as<std::string>().c_str(), arguments["control-port"].as<int>()); }).detach();
    context.run();
    return 0;
}
