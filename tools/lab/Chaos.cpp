#include "Experiments.h"

#include "LoadGenerator.h"
#include "Reports.h"

#include <csignal>
#include <random>

namespace lentiljunction::lab {

namespace {

    constexpr double bookingsPerSecond = 100;
    constexpr double unkeyedWritesPerSecond = 30;
    constexpr std::chrono::milliseconds firstFaultAt { 2000 };
    constexpr std::chrono::milliseconds faultInterval { 3500 };
    constexpr std::chrono::milliseconds faultDuration { 2500 };
    constexpr std::chrono::milliseconds recoveryTime { 4000 };

    enum class ChaosFault {
        CutZone,
        FreezePrimary,
        KillInstance,
        PauseInstance,
        SilenceConnections,
        LoseAnswers,
    };

    constexpr std::uint64_t numFaults = 6;

    const char* getName(ChaosFault fault)
    {
        switch (fault) {
        case ChaosFault::CutZone:
            return "cut_zone";
        case ChaosFault::FreezePrimary:
            return "freeze_primary";
        case ChaosFault::KillInstance:
            return "kill_instance";
        case ChaosFault::PauseInstance:
            return "pause_instance";
        case ChaosFault::SilenceConnections:
            return "silence_connections";
        case ChaosFault::LoseAnswers:
            return "lose_answers";
        }
        return "";
    }

    void startFault(Cluster& cluster, ChaosFault fault, const std::string& zone, InstanceNode& instance)
    {
        UpstreamNode* primary = cluster.findPrimary("db-a");
        switch (fault) {
        case ChaosFault::CutZone:
            cluster.cutZones({ zone });
            break;
        case ChaosFault::FreezePrimary:
            injectFault(cluster, PrimaryFault::Freeze);
            break;
        case ChaosFault::KillInstance:
            instance.process->signal(SIGKILL);
            break;
        case ChaosFault::PauseInstance:
            instance.process->signal(SIGSTOP);
            break;
        case ChaosFault::SilenceConnections:
            cluster.postControl(cluster.getNetworkPort(), { { "silence_connections", true } });
            for (const UpstreamNode& node : cluster.getUpstreams())
                cluster.postControl(node.controlPort, { { "silence_connections", true } });
            break;
        case ChaosFault::LoseAnswers:
            if (primary != nullptr)
                cluster.postControl(primary->controlPort, { { "lose_answers", 3 } });
            break;
        }
    }

    void endFault(Cluster& cluster, ChaosFault fault, InstanceNode& instance)
    {
        if (fault == ChaosFault::CutZone)
            cluster.cutZones({});
        if (fault == ChaosFault::KillInstance)
            cluster.startInstance(instance);
        if (fault == ChaosFault::PauseInstance)
            instance.process->signal(SIGCONT);
        for (UpstreamNode& node : cluster.getUpstreams())
            node.process->signal(SIGCONT);
    }

    /// Chooses faults at random, one after another.
    ///
    /// @param description receives time, kind and target of each fault
    std::vector<ScriptedStep> drawScript(Cluster& cluster, std::uint64_t seed, std::chrono::seconds time, nlohmann::json& description)
    {
        std::mt19937_64 random(seed);
        std::vector<ScriptedStep> steps;
        for (std::chrono::milliseconds at = firstFaultAt; at + recoveryTime < time; at += faultInterval) {
            ChaosFault fault = static_cast<ChaosFault>(random() % numFaults);
            InstanceNode* instance = &cluster.getInstances()[random() % cluster.getInstances().size()];
            std::string zone = cluster.getSite().zones[random() % cluster.getSite().zones.size()].name;
            description.push_back({ { "at_ms", at.count() }, { "fault", getName(fault) }, { "instance", instance->id }, { "zone", zone } });
            steps.push_back({ at, [&cluster, fault, zone, instance] { startFault(cluster, fault, zone, *instance); } });
            steps.push_back({ at + faultDuration, [&cluster, fault, instance] { endFault(cluster, fault, *instance); } });
        }
        return steps;
    }

} // namespace

nlohmann::json measureChaos(const ExperimentConfig& setting, std::uint64_t seed, int seconds)
{
    SitePlan site = setting.site;
    site.numDatabases = 1;
    Cluster cluster(site, setting.binaries, setting.folder);
    Failure failure;
    if (!cluster.start(failure))
        return { { "error", failure.reason } };

    LoadGenerator load(cluster, { StreamPlan { "bookings", StreamKind::WriteThenRead, Rank::Urgent, bookingsPerSecond, 1000 }, StreamPlan { "plain", StreamKind::PlainWrite, Rank::Normal, unkeyedWritesPerSecond, 1000 } });
    if (!load.prepare())
        return { { "error", "could not create the tables" } };

    nlohmann::json script = nlohmann::json::array();
    load.run(std::chrono::seconds(seconds), drawScript(cluster, seed, std::chrono::seconds(seconds), script));
    nlohmann::json report { { "seed", seed }, { "script", script }, { "bookings", toJson(load.checkBookings()) } };
    for (const char* stream : { "bookings", "plain" })
        report["streams"][stream] = describeStream(load.getResult(stream), 0, 1e12);
    return report;
}

} // namespace lentiljunction::lab
