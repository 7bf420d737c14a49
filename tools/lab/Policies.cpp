#include "Experiments.h"

#include "LoadGenerator.h"

#include <algorithm>
#include <thread>

namespace lentiljunction::lab {

namespace {

    constexpr std::chrono::seconds runTime { 12 };
    constexpr double windowBeginMilliseconds = 3000;
    constexpr double windowEndMilliseconds = 11000;
    constexpr double floodPerSecond = 700;
    constexpr double urgentPerSecond = 60;

    /// Runs the streams on a new cluster.
    ///
    /// @param bundleChange JSON merge patch of the site's bundle, null for none
    nlohmann::json runStreams(const ExperimentConfig& setting, const std::string& name, const std::vector<StreamPlan>& streams, const nlohmann::json& bundleChange)
    {
        Cluster cluster(setting.site, setting.binaries, setting.folder + "/" + name);
        Failure failure;
        if (!cluster.start(failure))
            return { { "error", failure.reason } };
        if (!bundleChange.is_null()) {
            nlohmann::json bundle = cluster.makeBundle(2);
            bundle.merge_patch(bundleChange);
            if (!cluster.rollBundle(bundle, failure))
                return { { "error", failure.reason } };
        }

        LoadGenerator load(cluster, streams);
        if (!load.prepare())
            return { { "error", "could not create the tables" } };
        load.run(runTime, {});
        nlohmann::json report;
        for (const StreamPlan& stream : streams) {
            const StreamResult& result = load.getResult(stream.name);
            report[stream.name] = { { "per_s", static_cast<double>(result.countCompleted(windowBeginMilliseconds, windowEndMilliseconds)) / (windowEndMilliseconds - windowBeginMilliseconds) * 1000 }, { "p50_ms", result.getPercentile(0.5, windowBeginMilliseconds, windowEndMilliseconds) }, { "p99_ms", result.getPercentile(0.99, windowBeginMilliseconds, windowEndMilliseconds) }, { "outcomes", result.outcomes } };
        }
        double replica = sumMetric(cluster, "lentiljunction_reads_total", "role=\"replica\"");
        double primary = sumMetric(cluster, "lentiljunction_reads_total", "role=\"primary\"");
        report["replica_share"] = replica / std::max(1.0, replica + primary);
        return report;
    }

    /// Compares ranks with first come, first served, where the same requests all have one rank and one caller.
    nlohmann::json compareRanks(ExperimentConfig setting)
    {
        setting.site.serviceMicroseconds = 10000;
        setting.site.numDatabases = 1;
        std::vector<StreamPlan> ranked {
            { "urgent", StreamKind::Read, Rank::Urgent, urgentPerSecond, 2000 },
            { "flood", StreamKind::Read, Rank::Background, floodPerSecond, 2000 },
        };
        std::vector<StreamPlan> plain = ranked;
        for (StreamPlan& stream : plain) {
            stream.rank = Rank::Background;
            stream.numCallers = 1;
            stream.callers = "everyone";
        }
        return { { "ranks", runStreams(setting, "ranks", ranked, nullptr) }, { "one_rank", runStreams(setting, "one-rank", plain, nullptr) } };
    }

    /// Compares reads at replicas with reads at the primary only.
    nlohmann::json compareReads(ExperimentConfig setting)
    {
        setting.site.numDatabases = 1;
        std::vector<StreamPlan> streams {
            { "lookups", StreamKind::Read, Rank::Normal, 900, 1000 },
            { "bookings", StreamKind::KeyedWrite, Rank::Urgent, 40, 1000 },
        };
        std::vector<StreamPlan> plain = streams;
        plain.front().kind = StreamKind::PrimaryRead;
        return { { "replicas", runStreams(setting, "replicas", streams, nullptr) }, { "primary_only", runStreams(setting, "primary-only", plain, nullptr) } };
    }

    /// Compares commits confirmed by a majority with commits at the primary alone.
    nlohmann::json compareDurability(ExperimentConfig setting)
    {
        std::vector<StreamPlan> streams { { "bookings", StreamKind::KeyedWrite, Rank::Urgent, 60, 1000 } };
        nlohmann::json replicated = runStreams(setting, "replicated", streams, nullptr);
        setting.site.durability = "primary";
        return { { "replicated", replicated }, { "primary", runStreams(setting, "primary", streams, nullptr) } };
    }

    /// Compares one gate per upstream with a pool and a queue in each instance. For the latter, each instance gets
    /// its own database name for the same group and is the only gate of that database.
    nlohmann::json compareGates(ExperimentConfig setting)
    {
        setting.site.serviceMicroseconds = 10000;
        setting.site.numDatabases = 1;
        setting.site.zones.clear();
        for (int index = 0; index < 7; index++)
            setting.site.zones.push_back({ "z" + std::to_string(index), 1 });
        std::vector<StreamPlan> streams {
            { "urgent", StreamKind::Read, Rank::Urgent, urgentPerSecond, 2000 },
            { "flood", StreamKind::Read, Rank::Background, floodPerSecond, 2000 },
        };
        nlohmann::json gates = runStreams(setting, "gates", streams, nullptr);
        setting.site.separatePools = true;
        return { { "gates", gates }, { "pool_per_instance", runStreams(setting, "pools", streams, nullptr) } };
    }

} // namespace

nlohmann::json comparePolicies(const ExperimentConfig& setting)
{
    return {
        { "ranks", compareRanks(setting) },
        { "reads", compareReads(setting) },
        { "durability", compareDurability(setting) },
        { "gates", compareGates(setting) },
    };
}

nlohmann::json measureOverload(const ExperimentConfig& setting, double requestedFloodPerSecond)
{
    SitePlan site = setting.site;
    site.zones = { { "west", 2 } };
    site.serviceMicroseconds = 0;
    site.slots = 64;
    site.connections = 400;
    site.numDatabases = 1;
    Cluster cluster(site, setting.binaries, setting.folder);
    Failure failure;
    if (!cluster.start(failure))
        return { { "error", failure.reason } };

    StreamPlan urgent { "urgent", StreamKind::Read, Rank::Urgent, 100, 1000 };
    StreamPlan flood { "flood", StreamKind::Read, Rank::Background, requestedFloodPerSecond, 1000 };
    flood.begin = std::chrono::seconds(4);
    flood.end = std::chrono::seconds(12);
    // Separate generators, so that sending the flood does not delay the urgent requests.
    LoadGenerator urgentLoad(cluster, { urgent });
    LoadGenerator floodLoad(cluster, { flood });
    std::thread floodThread([&] { floodLoad.run(std::chrono::seconds(14), {}); });
    urgentLoad.run(std::chrono::seconds(14), {});
    floodThread.join();
    const StreamResult& result = urgentLoad.getResult("urgent");
    return {
        { "urgent_quiet", { { "per_s", static_cast<double>(result.countCompleted(1000, 4000)) / 3 }, { "p99_ms", result.getPercentile(0.99, 1000, 4000) } } },
        { "urgent_flood", { { "per_s", static_cast<double>(result.countCompleted(5000, 12000)) / 7 }, { "p50_ms", result.getPercentile(0.5, 5000, 12000) }, { "p99_ms", result.getPercentile(0.99, 5000, 12000) } } },
        { "urgent_outcomes", result.outcomes },
        { "flood_outcomes", floodLoad.getResult("flood").outcomes },
    };
}

} // namespace lentiljunction::lab
