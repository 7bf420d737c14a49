#include "Experiments.h"

#include "LoadGenerator.h"
#include "Reports.h"

#include <algorithm>
#include <csignal>
#include <httplib.h>
#include <iostream>
#include <sstream>
#include <thread>

namespace lentiljunction::lab {

namespace {

    constexpr std::chrono::milliseconds warmUp { 3000 };
    constexpr std::chrono::milliseconds observationTime { 7000 };
    constexpr double bookingsPerSecond = 100;
    /// Share of the upstreams' capacity that each rank uses without a flood.
    constexpr double quietShare = 0.15;

    /// @returns the number of responses in each interval of 100 ms
    nlohmann::json describeTimeline(const StreamResult& result, double fromMilliseconds, double toMilliseconds)
    {
        constexpr double bucketMilliseconds = 100;
        std::vector<int> counts(static_cast<std::size_t>((toMilliseconds - fromMilliseconds) / bucketMilliseconds), 0);
        for (const Completion& completion : result.completed) {
            double time = completion.scheduledMilliseconds + completion.latencyMilliseconds;
            if (time >= fromMilliseconds && time < toMilliseconds)
                counts[static_cast<std::size_t>((time - fromMilliseconds) / bucketMilliseconds)]++;
        }
        return counts;
    }

    /// Injects one fault into a new cluster. It has a single database, so that the gap is that of the failed group.
    nlohmann::json runFailoverRound(const ExperimentConfig& setting, PrimaryFault fault, bool isStoreDown, int round)
    {
        SitePlan site = setting.site;
        site.numDatabases = 1;
        Cluster cluster(site, setting.binaries, setting.folder + "/round-" + std::to_string(round));
        Failure failure;
        if (!cluster.start(failure))
            return { { "error", failure.reason } };

        LoadGenerator load(cluster, { StreamPlan { "bookings", StreamKind::WriteThenRead, Rank::Urgent, bookingsPerSecond, 1000 } });
        if (!load.prepare())
            return { { "error", "could not create the tables" } };

        std::chrono::milliseconds storeDownAt = warmUp - std::chrono::milliseconds(500);
        std::vector<ScriptedStep> steps;
        if (isStoreDown)
            steps.push_back({ storeDownAt, [&] { cluster.postControl(cluster.getStorePort(), { { "down", true } }); } });
        steps.push_back({ warmUp, [&] { injectFault(cluster, fault); } });
        std::chrono::milliseconds healAt = warmUp + std::chrono::milliseconds(5500);
        steps.push_back({ healAt, [&] {
                             if (fault == PrimaryFault::Cut)
                                 cluster.cutZones({});
                             for (UpstreamNode& node : cluster.getUpstreams())
                                 node.process->signal(SIGCONT);
                         } });
        load.run(warmUp + observationTime, steps);

        const StreamResult& result = load.getResult("bookings");
        double faultAt = static_cast<double>(warmUp.count());
        nlohmann::json report = describeStream(result, 0, 1e12);
        report["gap_ms"] = result.getLongestGap(faultAt - 200, faultAt + 5500);
        report["answers_per_100_ms"] = describeTimeline(result, faultAt - 500, faultAt + 3000);
        report["quiet_gap_ms"] = result.getLongestGap(1000, faultAt - 200);
        report["quiet_p50_ms"] = result.getPercentile(0.5, 1000, faultAt);
        report["bookings"] = toJson(load.checkBookings());
        for (const UpstreamNode& node : cluster.getUpstreams())
            report["upstreams"][node.id] = cluster.describeUpstream(node);
        return report;
    }

} // namespace

std::optional<PrimaryFault> parsePrimaryFault(const std::string& text)
{
    if (text == "cut")
        return PrimaryFault::Cut;
    if (text == "crash")
        return PrimaryFault::Crash;
    if (text == "freeze")
        return PrimaryFault::Freeze;
    return std::nullopt;
}

double sumMetric(Cluster& cluster, const std::string& name, const std::string& text)
{
    double sum = 0;
    for (const InstanceNode& node : cluster.getInstances()) {
        httplib::Client client("127.0.0.1", node.callerPort);
        httplib::Result result = client.Get("/metrics");
        if (!result)
            continue;
        std::istringstream stream(result->body);
        std::string line;
        while (std::getline(stream, line)) {
            bool isWanted = line.rfind(name, 0) == 0 && line.find(text) != std::string::npos;
            if (isWanted)
                sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

nlohmann::json measureFailover(const ExperimentConfig& setting, PrimaryFault fault, bool isStoreDown, int rounds)
{
    nlohmann::json report { { "rounds", nlohmann::json::array() } };
    std::vector<double> gaps;
    for (int round = 0; round < rounds; round++) {
        nlohmann::json result = runFailoverRound(setting, fault, isStoreDown, round);
        if (result.contains("gap_ms"))
            gaps.push_back(result.at("gap_ms").get<double>());
        report["rounds"].push_back(result);
    }
    std::sort(gaps.begin(), gaps.end());
    if (!gaps.empty())
        report["gap_ms"] = { { "min", gaps.front() }, { "median", gaps[gaps.size() / 2] }, { "max", gaps.back() } };
    return report;
}

nlohmann::json measureReads(const ExperimentConfig& setting)
{
    Cluster cluster(setting.site, setting.binaries, setting.folder);
    Failure failure;
    if (!cluster.start(failure))
        return { { "error", failure.reason } };

    std::vector<StreamPlan> streams {
        { "bookings", StreamKind::WriteThenRead, Rank::Urgent, 60, 1000 },
        { "lookups", StreamKind::Read, Rank::Normal, 300, 1000 },
        { "reviews", StreamKind::BoundedStalenessRead, Rank::Background, 120, 2000, 1000 },
    };
    LoadGenerator load(cluster, streams);
    if (!load.prepare())
        return { { "error", "could not create the tables" } };
    load.run(std::chrono::seconds(15), {});

    double replica = sumMetric(cluster, "lentiljunction_reads_total", "role=\"replica\"");
    double primary = sumMetric(cluster, "lentiljunction_reads_total", "role=\"primary\"");
    nlohmann::json report { { "reads_by_replicas", replica }, { "reads_by_primary", primary }, { "replica_share", replica / std::max(1.0, replica + primary) } };
    for (const char* cause : { "drawn", "replica_behind", "age_not_proved", "replica_failed" })
        report["primary_causes"][cause] = sumMetric(cluster, "lentiljunction_reads_total", std::string("cause=\"") + cause + "\"");
    for (const StreamPlan& stream : streams)
        report["streams"][stream.name] = describeStream(load.getResult(stream.name), 1000, 1e12);
    report["bookings"] = toJson(load.checkBookings());
    return report;
}

nlohmann::json measureFlood(const ExperimentConfig& setting, const std::string& floodRank, double factor)
{
    // Statements take long enough that the upstreams are the bottleneck, not this machine.
    SitePlan site = setting.site;
    site.serviceMicroseconds = 10000;
    Cluster cluster(site, setting.binaries, setting.folder);
    Failure failure;
    if (!cluster.start(failure))
        return { { "error", failure.reason } };

    // Statements per second of all upstreams together, with statements of this duration.
    double capacity = 1e6 / site.serviceMicroseconds * site.slots * site.numDatabases * site.numUpstreams;
    std::vector<StreamPlan> streams;
    for (Rank rank : allRanks)
        streams.push_back({ toString(rank), StreamKind::Read, rank, capacity * quietShare, 2000 });
    StreamPlan flood { "flood", StreamKind::Read, *parseRank(floodRank), capacity * quietShare * factor, 1000 };
    flood.begin = std::chrono::seconds(5);
    flood.end = std::chrono::seconds(13);
    flood.numCallers = 16;
    streams.push_back(flood);

    LoadGenerator load(cluster, streams);
    load.run(std::chrono::seconds(18), {});
    nlohmann::json report { { "capacity_per_s", capacity }, { "flood_per_s", capacity * quietShare * factor } };
    for (const StreamPlan& stream : streams) {
        const StreamResult& result = load.getResult(stream.name);
        report["streams"][stream.name] = {
            { "quiet", { { "per_s", static_cast<double>(result.countCompleted(1000, 5000)) / 4 }, { "p50_ms", result.getPercentile(0.5, 1000, 5000) }, { "p99_ms", result.getPercentile(0.99, 1000, 5000) } } },
            { "flood", { { "per_s", static_cast<double>(result.countCompleted(6000, 12500)) / 6.5 }, { "p50_ms", result.getPercentile(0.5, 6000, 12500) }, { "p99_ms", result.getPercentile(0.99, 6000, 12500) } } },
            { "after", { { "per_s", static_cast<double>(result.countCompleted(15000, 18000)) / 3 }, { "p99_ms", result.getPercentile(0.99, 15000, 18000) } } },
            { "outcomes", result.outcomes },
        };
    }
    return report;
}

} // namespace lentiljunction::lab
