#include "Demo.h"

#include "Cluster.h"

#include <algorithm>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <thread>

namespace lentiljunction::lab {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 50 };
    constexpr std::chrono::seconds rollTimeout { 30 };

    nlohmann::json execute(const InstanceNode& node, const nlohmann::json& request)
    {
        httplib::Client client("127.0.0.1", node.callerPort);
        httplib::Result result = client.Post("/v1/execute", request.dump(), "application/json");
        nlohmann::json response = result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
        std::cout << node.id << " <- " << request.dump() << "\n"
                  << node.id << " -> " << response.dump() << "\n\n";
        return response;
    }

    std::string makeKey(const std::string& unique)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()) + ":" + unique;
    }

    bool bookAndRead(Cluster& cluster)
    {
        const InstanceNode& first = cluster.getInstances().front();
        const InstanceNode& last = cluster.getInstances().back();
        execute(first, { { "id", "1" }, { "database", "db-a" }, { "statements", { "CREATE TABLE returns (clip TEXT, quantity INTEGER)" } }, { "deadline_ms", 5000 } });

        nlohmann::json booking { { "id", "2" }, { "database", "db-a" }, { "rank", "urgent" }, { "statements", { "INSERT INTO returns VALUES ('coupler', 40)" } }, { "idempotency_key", makeKey("demo") }, { "deadline_ms", 5000 } };
        nlohmann::json booked = execute(first, booking);
        nlohmann::json repeated = execute(last, booking);
        nlohmann::json read = execute(last, { { "id", "3" }, { "database", "db-a" }, { "statements", { "SELECT clip, quantity FROM returns" } }, { "session", booked.value("session", "") }, { "deadline_ms", 5000 } });
        nlohmann::json refused = execute(first, { { "id", "4" }, { "database", "db-x" }, { "statements", { "SELECT 1" } } });

        bool isReadBack = read.value("outcome", "") == "completed" && read.at("results").at(0).at("rows").size() == 1;
        return booked.value("outcome", "") == "completed" && repeated.value("outcome", "") == "completed" && isReadBack && refused.value("reason", "") == "unknown_database";
    }

    /// Writes the operator's key and bundle version 2 to files and prints the commands that put the bundle in force.
    void writeNextBundle(Cluster& cluster, const std::string& folder)
    {
        std::ofstream(folder + "/operator.key") << cluster.getOperatorKey().privateKey << "\n";
        std::ofstream(folder + "/bundle-2.json") << cluster.makeBundle(2).dump(2) << "\n";
        std::string common = " --settings " + cluster.getInstances().front().settingsPath + " --operator operator";
        std::cout << "\nA next bundle, with the operator's key, to put in force:\n"
                  << "  lentiljunction bundle create" << common << " --file " << folder << "/bundle-2.json\n"
                  << "  lentiljunction bundle approve" << common << " --key " << folder << "/operator.key --version 2\n"
                  << "  lentiljunction bundle roll" << common << " --version 2\n";
    }

    bool rollBundleAndWait(Cluster& cluster)
    {
        Failure failure;
        if (!cluster.rollBundle(cluster.makeBundle(2), failure)) {
            std::cout << "the bundle was not rolled: " << failure.reason << "\n";
            return false;
        }

        std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() < startedAt + rollTimeout) {
            bool isEverywhere = std::all_of(cluster.getInstances().begin(), cluster.getInstances().end(), [&](const InstanceNode& node) { return cluster.getBundleVersion(node) == 2; });
            if (isEverywhere) {
                std::cout << "bundle version 2 is in force on all instances\n";
                return true;
            }
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

} // namespace

bool runDemo(const std::string& binaries, const std::string& folder)
{
    Cluster cluster(makeDemoSite(), binaries, folder);
    Failure failure;
    if (!cluster.start(failure)) {
        std::cout << "error: " << failure.reason << "\n";
        return false;
    }
    std::cout << cluster.getInstances().size() << " entry instances and " << cluster.getUpstreams().size() << " upstreams run; logs are in " << folder << "\n\n";
    bool isDone = bookAndRead(cluster) && rollBundleAndWait(cluster);
    std::cout << (isDone ? "demo: done\n" : "demo: failed\n");
    return isDone;
}

bool serveSite(const SitePlan& site, const std::string& binaries, const std::string& folder)
{
    Cluster cluster(site, binaries, folder);
    Failure failure;
    if (!cluster.start(failure)) {
        std::cout << "error: " << failure.reason << "\n";
        return false;
    }
    for (const InstanceNode& node : cluster.getInstances())
        std::cout << "instance " << node.id << " in zone " << node.zone << ": callers at 127.0.0.1:" << node.callerPort << ", settings " << node.settingsPath << "\n";
    for (const UpstreamNode& node : cluster.getUpstreams())
        std::cout << "upstream " << node.id << " in zone " << node.zone << ": faults at 127.0.0.1:" << node.controlPort << "\n";
    std::cout << "store: 127.0.0.1:" << cluster.getStorePort() << "\n";
    writeNextBundle(cluster, folder);
    std::cout << "\nPress Enter to stop.\n"
              << std::flush;
    std::string line;
    std::getline(std::cin, line);
    return true;
}

} // namespace lentiljunction::lab
