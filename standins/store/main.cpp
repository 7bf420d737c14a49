#include "ObjectStore.h"

#include <atomic>
#include <cxxopts.hpp>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace {

using lentiljunction::standins::ObjectStore;

constexpr std::size_t numThreads = 96;
constexpr std::size_t maximumValueBytes = 1 << 20;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int httpTooLarge = 413;
constexpr int httpServerError = 500;
constexpr int httpUnavailable = 503;

/// The injected faults.
struct Faults {
    std::atomic<bool> isDown { false };
    std::atomic<int> delayMilliseconds { 0 };
    /// The number of updates whose response is still to be dropped after the update took effect.
    std::atomic<int> responsesToDrop { 0 };
    std::mutex mutex;
    std::set<std::string> cutZones;
};

/// Numbers of calls, by kind.
struct Counters {
    std::atomic<std::uint64_t> gets { 0 };
    std::atomic<std::uint64_t> puts { 0 };
    std::atomic<std::uint64_t> lists { 0 };
    std::atomic<std::uint64_t> watches { 0 };
};

std::uint64_t readNumber(const httplib::Request& request, const char* name)
{
    return std::strtoull(request.get_param_value(name).c_str(), nullptr, 10);
}

nlohmann::json toJson(const ObjectStore::Object& object)
{
    return { { "key", object.key }, { "version", object.version }, { "value", object.value } };
}

bool isCut(Faults& faults, const httplib::Request& request)
{
    std::lock_guard<std::mutex> lock(faults.mutex);
    const std::string origin = request.get_header_value("X-Origin");
    for (const std::string& zone : faults.cutZones) {
        if (origin.find("zone=" + zone + ";") != std::string::npos)
            return true;
    }
    return false;
}

void applyFaults(Faults& faults, const nlohmann::json& change)
{
    faults.isDown = change.value("down", faults.isDown.load());
    faults.delayMilliseconds = change.value("delay_ms", faults.delayMilliseconds.load());
    faults.responsesToDrop = change.value("lose_answers", faults.responsesToDrop.load());
    if (change.contains("cut_zones")) {
        std::lock_guard<std::mutex> lock(faults.mutex);
        faults.cutZones = change.at("cut_zones").get<std::set<std::string>>();
    }
}

void addObjectRoutes(httplib::Server& server, ObjectStore& store, Faults& faults, Counters& counters)
{
    server.Get("/v1/object", [&](const httplib::Request& request, httplib::Response& response) {
        counters.gets++;
        std::optional<ObjectStore::Object> object = store.get(request.get_param_value("key"));
        if (object)
            response.set_content(toJson(*object).dump(), "application/json");
        else
            response.status = httpNotFound;
    });
    server.Put("/v1/object", [&](const httplib::Request& request, httplib::Response& response) {
        counters.puts++;
        if (request.body.size() > maximumValueBytes) {
            response.status = httpTooLarge;
            return;
        }
        ObjectStore::PutResult result = store.put(request.get_param_value("key"), readNumber(request, "if_version"), request.body);
        if (faults.responsesToDrop > 0) {
            faults.responsesToDrop--;
            response.status = httpServerError;
            return;
        }
        if (!result.isWritten)
            response.status = httpConflict;
        response.set_content(nlohmann::json { { "version", result.version } }.dump(), "application/json");
    });
    server.Get("/v1/list", [&](const httplib::Request& request, httplib::Response& response) {
        counters.lists++;
        response.set_content(nlohmann::json { { "keys", store.list(request.get_param_value("prefix")) } }.dump(), "application/json");
    });
    server.Get("/v1/watch", [&](const httplib::Request& request, httplib::Response& response) {
        counters.watches++;
        std::chrono::milliseconds limit(readNumber(request, "wait_ms"));
        ObjectStore::Changes changes = store.watch(request.get_param_value("prefix"), readNumber(request, "after_revision"), limit);
        nlohmann::json objects = nlohmann::json::array();
        for (const ObjectStore::Object& object : changes.objects)
            objects.push_back(toJson(object));
        if (faults.isDown)
            response.status = httpUnavailable;
        response.set_content(nlohmann::json { { "revision", changes.revision }, { "objects", objects } }.dump(), "application/json");
    });
}

void addControlRoutes(httplib::Server& server, Faults& faults, Counters& counters)
{
    server.Post("/control", [&](const httplib::Request& request, httplib::Response& response) {
        nlohmann::json change = nlohmann::json::parse(request.body, nullptr, false);
        if (!change.is_object()) {
            response.status = httpBadRequest;
            return;
        }
        applyFaults(faults, change);
        response.set_content("{}", "application/json");
    });
    server.Get("/control", [&](const httplib::Request&, httplib::Response& response) {
        nlohmann::json body { { "get", counters.gets.load() }, { "put", counters.puts.load() }, { "list", counters.lists.load() }, { "watch", counters.watches.load() } };
        response.set_content(body.dump(), "application/json");
    });
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("lj-standin-store", "A platform store for tests: versions, conditional updates, watches, faults.");
    options.add_options()("address", "IP number", cxxopts::value<std::string>()->default_value("127.0.0.1"))("port", "port", cxxopts::value<int>()->default_value("7000"))("help", "this text");
    cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }

    ObjectStore store;
    Faults faults;
    Counters counters;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(numThreads); };
    server.set_payload_max_length(maximumValueBytes * 2);
    server.set_pre_routing_handler([&](const httplib::Request& request, httplib::Response& response) {
        bool isControl = request.path == "/control";
        if (isControl)
            return httplib::Server::HandlerResponse::Unhandled;
        std::this_thread::sleep_for(std::chrono::milliseconds(faults.delayMilliseconds));
        if (!faults.isDown && !isCut(faults, request))
            return httplib::Server::HandlerResponse::Unhandled;
        response.status = httpUnavailable;
        return httplib::Server::HandlerResponse::Handled;
    });
    addObjectRoutes(server, store, faults, counters);
    addControlRoutes(server, faults, counters);
    if (!server.listen(arguments["address"].as<std::string>().c_str(), arguments["port"].as<int>())) {
        std::cerr << "the port cannot be opened\n";
        return 1;
    }
    return 0;
}
