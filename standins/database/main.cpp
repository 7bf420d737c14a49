#include "FaultInjector.h"
#include "PostgresServer.h"
#include "Replicator.h"

#include <cxxopts.hpp>
#include <httplib.h>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace lentiljunction;
using namespace lentiljunction::standins;

constexpr std::size_t numControlThreads = 16;
constexpr int httpBadRequest = 400;
constexpr int httpUnavailable = 503;
constexpr Term firstTerm { 1 };

/// Parses comma-separated "zone@host:port" items.
std::vector<ReplicaAddress> parseReplicas(const std::string& text)
{
    std::vector<ReplicaAddress> replicas;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        std::size_t at = item.find('@');
        std::size_t colon = item.find(':');
        if (at == std::string::npos || colon == std::string::npos)
            continue;
        replicas.push_back({ item.substr(0, at), item.substr(at + 1, colon - at - 1), std::stoi(item.substr(colon + 1)) });
    }
    return replicas;
}

void onReplicate(SqlEngine& engine, FaultInjector& faults, const httplib::Request& request, httplib::Response& response)
{
    faults.waitWhileFrozen();
    if (faults.isCut(request.get_header_value("X-Zone"))) {
        response.status = httpUnavailable;
        return;
    }
    ReplicationBatch batch = parseBatch(nlohmann::json::parse(request.body));
    if (!batch.entries.empty())
        std::this_thread::sleep_for(faults.getLag());
    response.set_content(toJson(engine.getLog().receive(batch)).dump(), "application/json");
}

void onControl(SqlEngine& engine, FaultInjector& faults, const httplib::Request& request, httplib::Response& response)
{
    nlohmann::json change = nlohmann::json::parse(request.body, nullptr, false);
    if (!change.is_object()) {
        response.status = httpBadRequest;
        return;
    }
    if (change.value("crash", false))
        std::_Exit(1);
    if (change.contains("leaving"))
        engine.getLog().setLeaving(change.at("leaving").get<bool>());
    faults.apply(change);
    response.set_content("{}", "application/json");
}

void describe(SqlEngine& engine, const PostgresServer& server, httplib::Response& response)
{
    UpstreamStatus status = engine.getLog().getStatus();
    nlohmann::json body {
        { "primary", status.isPrimary },
        { "fenced_term", status.fencedTerm.value() },
        { "head_term", status.head.term.value() },
        { "head_position", status.head.position.value() },
        { "history", status.history.toString() },
        { "executed", engine.getNumExecuted() },
        { "connections", server.getNumConnections() },
    };
    response.set_content(body.dump(), "application/json");
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("lj-standin-database", "A member of a database group for tests: PostgreSQL protocol, asynchronous replication, terms, faults.");
    options.add_options()("zone", "availability zone", cxxopts::value<std::string>()->default_value("a"));
    options.add_options()("address", "IP number", cxxopts::value<std::string>()->default_value("127.0.0.1"));
    options.add_options()("port", "port for SQL", cxxopts::value<int>()->default_value("5432"));
    options.add_options()("control-port", "port for replication and faults", cxxopts::value<int>()->default_value("6432"));
    options.add_options()("replicas", "other members: zone@host:control-port,...", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("primary", "start as primary of term 1");
    options.add_options()("slots", "statements executed at one time", cxxopts::value<int>()->default_value("2"));
    options.add_options()("connections", "connections accepted", cxxopts::value<int>()->default_value("16"));
    options.add_options()("service-us", "microseconds a statement holds its slot", cxxopts::value<int>()->default_value("1000"));
    options.add_options()("open-ms", "milliseconds to open a connection", cxxopts::value<int>()->default_value("10"));
    options.add_options()("lag-ms", "milliseconds a replica waits before it applies", cxxopts::value<int>()->default_value("5"));
    options.add_options()("delays", "one-way delays to zones as JSON", cxxopts::value<std::string>()->default_value("{}"));
    options.add_options()("help", "this text");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = makeOptions();
    cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }

    SqlEngine engine(arguments["slots"].as<int>(), std::chrono::microseconds(arguments["service-us"].as<int>()));
    FaultInjector faults;
    faults.apply({ { "lag_ms", arguments["lag-ms"].as<int>() }, { "delay_ms", nlohmann::json::parse(arguments["delays"].as<std::string>()) } });
    if (arguments.count("primary") > 0)
        engine.getLog().bootstrap(firstTerm);

    std::string zone = arguments["zone"].as<std::string>();
    std::string address = arguments["address"].as<std::string>();
    for (const ReplicaAddress& replica : parseReplicas(arguments["replicas"].as<std::string>()))
        std::thread([&engine, &faults, zone, replica] { shipLog(engine.getLog(), faults, zone, replica); }).detach();

    PostgresServer server({ address, arguments["port"].as<int>(), arguments["connections"].as<int>(), std::chrono::milliseconds(arguments["open-ms"].as<int>()) }, engine, faults);
    httplib::Server control;
    control.new_task_queue = [] { return new httplib::ThreadPool(numControlThreads); };
    control.set_tcp_nodelay(true);
    control.Post("/replicate", [&](const httplib::Request& request, httplib::Response& response) { onReplicate(engine, faults, request, response); });
    control.Post("/control", [&](const httplib::Request& request, httplib::Response& response) { onControl(engine, faults, request, response); });
    control.Get("/control", [&](const httplib::Request&, httplib::Response& response) { describe(engine, server, response); });
    std::thread([&] { control.listen(address.c_str(), arguments["control-port"].as<int>()); }).detach();

    if (server.run())
        return 0;
    std::cerr << "the port cannot be opened\n";
    return 1;
}
