#include "../lab/LoadGenerator.h"
#include "Fit.h"
#include "Machine.h"
#include "Measurements.h"

#include "../../src/net/WebSocketClient.h"
#include "lentiljunction/core/EventLoop.h"

#include <atomic>
#include <httplib.h>
#include <thread>

namespace lentiljunction::capacity {

namespace {

    using lab::Cluster;
    using lab::InstanceNode;
    using lab::SitePlan;

    constexpr std::chrono::seconds settleTime { 3 };
    constexpr std::chrono::seconds observationTime { 10 };

    double toSeconds(std::chrono::seconds time)
    {
        return static_cast<double>(time.count());
    }

    /// Counts open sessions.
    class SessionCounter : public WebSocketClient::Listener {
    public:
        void onConnected(WebSocketClient::Handle) override { this->numOpen++; }
        void onMessage(WebSocketClient::Handle, const std::string&) override { }
        void onDisconnected(WebSocketClient::Handle) override { this->numOpen--; }

        std::atomic<int> numOpen { 0 };
    };

    SitePlan makeSmallSite(int numInstances)
    {
        SitePlan site = lab::makeDemoSite();
        site.zones = { { "west", numInstances } };
        site.serviceMicroseconds = 0;
        site.slots = 64;
        site.connections = 400;
        site.lagMilliseconds = 0;
        return site;
    }

    /// Adds copies of the first group to a bundle, which use the same upstream processes.
    nlohmann::json multiplyDatabases(nlohmann::json bundle, int number)
    {
        nlohmann::json first = bundle["databases"].begin().value();
        bundle["profiles"]["standard"]["connections"] = 10000;
        for (int index = 1; index < number; index++) {
            std::string name = "copy-" + std::to_string(index);
            nlohmann::json copy = first;
            for (nlohmann::json& upstream : copy["upstreams"])
                upstream["id"] = name + "-" + upstream["id"].get<std::string>();
            bundle["databases"][name] = copy;
        }
        return bundle;
    }

    nlohmann::json readCounters(int port)
    {
        httplib::Client client("127.0.0.1", port);
        httplib::Result result = client.Get("/control");
        return result ? nlohmann::json::parse(result->body) : nlohmann::json::object();
    }

    double sumCounters(const nlohmann::json& counters)
    {
        double sum = 0;
        for (const nlohmann::json& value : counters)
            sum += value.get<double>();
        return sum;
    }

    /// @returns the processor time of all instances, in seconds
    double sumProcessorSeconds(Cluster& cluster)
    {
        double sum = 0;
        for (const InstanceNode& node : cluster.getInstances())
            sum += getProcessorSeconds(node.process->getPid());
        return sum;
    }

} // namespace

nlohmann::json measureSessions(const std::string& binaries, const std::string& folder)
{
    Cluster cluster(makeSmallSite(1), binaries, folder);
    Failure failure;
    if (!cluster.start(failure))
        return { { "error", failure.reason } };

    const InstanceNode& node = cluster.getInstances().front();
    EventLoop loop;
    SessionCounter counter;
    WebSocketClient client(loop, counter);
    loop.start();
    std::vector<Sample> memory;
    int numRequested = 0;
    for (int size : { 250, 500, 1000, 2000, 4000 }) {
        while (numRequested < size) {
            loop.post([&] { client.connect({ "127.0.0.1", static_cast<std::uint16_t>(node.callerPort) }, "/v1/session"); });
            numRequested++;
            if (numRequested % 50 == 0)
                std::this_thread::sleep_for(std::chrono::milliseconds(30));
        }
        std::this_thread::sleep_for(std::chrono::seconds(2));
        memory.push_back({ static_cast<double>(counter.numOpen), getResidentBytes(node.process->getPid()) });
    }
    loop.stop();
    return { { "resident_bytes", toReport(memory, "resident bytes of an instance, against open caller sessions", 8.1e6 / designInstances) } };
}

nlohmann::json measureStatements(const std::string& binaries, const std::string& folder)
{
    nlohmann::json report;
    for (int numInstances : { 1, 2 }) {
        std::vector<Sample> processor;
        std::vector<Sample> latency;
        for (double rate : { 500.0, 1000.0, 2000.0, 4000.0 }) {
            Cluster cluster(makeSmallSite(numInstances), binaries, folder + "/" + std::to_string(numInstances) + "-" + std::to_string(static_cast<int>(rate)));
            Failure failure;
            if (!cluster.start(failure))
                return { { "error", failure.reason } };

            lab::LoadGenerator load(cluster, { lab::StreamPlan { "reads", lab::StreamKind::Read, Rank::Normal, rate, 1000 } });
            double before = 0;
            double after = 0;
            load.run(std::chrono::seconds(8), { { std::chrono::seconds(2), [&] { before = sumProcessorSeconds(cluster); } }, { std::chrono::milliseconds(7900), [&] { after = sumProcessorSeconds(cluster); } } });
            processor.push_back({ rate, (after - before) / 5.9 * 100 });
            latency.push_back({ rate, load.getResult("reads").getPercentile(0.99, 2000, 7900) });
        }
        std::string name = numInstances == 1 ? "served_here" : "half_forwarded";
        report[name] = { { "processor_percent", toReport(processor, "percent of a core of all instances, against statements per second", 667) }, { "p99_ms", toReport(latency, "p99 in milliseconds", 667) } };
    }
    return report;
}

nlohmann::json measureWrites(const std::string& binaries, const std::string& folder)
{
    std::vector<Sample> processor;
    std::vector<Sample> latency;
    for (double rate : { 25.0, 50.0, 100.0, 150.0 }) {
        SitePlan site = lab::makeDemoSite();
        site.serviceMicroseconds = 0;
        Cluster cluster(site, binaries, folder + "/" + std::to_string(static_cast<int>(rate)));
        Failure failure;
        if (!cluster.start(failure))
            return { { "error", failure.reason } };

        lab::LoadGenerator load(cluster, { lab::StreamPlan { "bookings", lab::StreamKind::KeyedWrite, Rank::Urgent, rate, 1000 } });
        if (!load.prepare())
            return { { "error", "could not create the tables" } };
        double before = 0;
        double after = 0;
        load.run(std::chrono::seconds(8), { { std::chrono::seconds(2), [&] { before = sumProcessorSeconds(cluster); } }, { std::chrono::milliseconds(7900), [&] { after = sumProcessorSeconds(cluster); } } });
        processor.push_back({ rate, (after - before) / 5.9 * 100 });
        latency.push_back({ rate, load.getResult("bookings").getPercentile(0.5, 2000, 7900) });
    }
    return { { "processor_percent", toReport(processor, "percent of a core of three instances, against keyed bookings per second at one group", 60) }, { "p50_ms", toReport(latency, "p50 of a booking in milliseconds, replication lag 5 ms", 60) } };
}

nlohmann::json measureGroups(const std::string& binaries, const std::string& folder)
{
    std::vector<Sample> processor;
    std::vector<Sample> memory;
    std::vector<Sample> network;
    for (int size : { 1, 10, 20, 40, 80 }) {
        SitePlan site = makeSmallSite(1);
        site.connections = 2000;
        Cluster cluster(site, binaries, folder + "/" + std::to_string(size));
        Failure failure;
        bool isRunning = cluster.start(failure) && cluster.rollBundle(multiplyDatabases(cluster.makeBundle(2), size), failure);
        if (!isRunning)
            return { { "error", failure.reason } };

        std::this_thread::sleep_for(settleTime);
        pid_t process = cluster.getInstances().front().process->getPid();
        double before = getProcessorSeconds(process);
        double bytesBefore = getLoopbackBytes();
        std::this_thread::sleep_for(observationTime);
        network.push_back({ static_cast<double>(size), (getLoopbackBytes() - bytesBefore) / toSeconds(observationTime) });
        processor.push_back({ static_cast<double>(size), (getProcessorSeconds(process) - before) / toSeconds(observationTime) * 100 });
        memory.push_back({ static_cast<double>(size), getResidentBytes(process) });
    }
    // At the design size, each instance is the gate of 2,300 x 3 / 2,100 upstreams on average.
    double groupsPerInstance = designDatabases * 3.0 / designInstances;
    return {
        { "processor_percent", toReport(processor, "percent of a core of an instance that watches idle groups", groupsPerInstance) },
        { "network_bytes_per_s", toReport(network, "bytes per second on loopback, all packets of one instance with its upstreams", groupsPerInstance) },
        { "resident_bytes", toReport(memory, "resident bytes of an instance that watches idle groups", groupsPerInstance) },
    };
}

nlohmann::json measureStore(const std::string& binaries, const std::string& folder)
{
    std::vector<Sample> calls;
    for (int size : { 2, 4, 8, 12 }) {
        Cluster cluster(makeSmallSite(size), binaries, folder + "/" + std::to_string(size));
        Failure failure;
        if (!cluster.start(failure))
            return { { "error", failure.reason } };
        std::this_thread::sleep_for(settleTime);
        double before = sumCounters(readCounters(cluster.getStorePort()));
        std::this_thread::sleep_for(2 * observationTime);
        calls.push_back({ static_cast<double>(size), (sumCounters(readCounters(cluster.getStorePort())) - before) / toSeconds(2 * observationTime) });
    }
    return { { "calls_per_s", toReport(calls, "store calls per second of one quiet zone, against its instances", static_cast<double>(designInstances) / designZones) } };
}

} // namespace lentiljunction::capacity
