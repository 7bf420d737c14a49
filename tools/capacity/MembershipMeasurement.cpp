#include "Fit.h"
#include "FleetModel.h"
#include "Machine.h"
#include "Measurements.h"

namespace lentiljunction::capacity {

namespace {

    const std::vector<int> sizes { 64, 256, 700, 1400, designInstances };
    constexpr Duration settleTime = std::chrono::seconds(25);
    constexpr Duration watchTime = std::chrono::seconds(30);

    /// Lets time pass until all agree, and describes the traffic meanwhile.
    nlohmann::json watchStorm(FleetModel& fleet)
    {
        constexpr int limit = 120;
        constexpr int step = 5;
        int seconds = 0;
        while (fleet.getAgreement() < 1 && seconds < limit) {
            fleet.run(std::chrono::seconds(step));
            seconds += step;
        }
        return { { "seconds_until_all_agree", seconds }, { "agreement", fleet.getAgreement() }, { "mean_bytes_per_s", fleet.getMean().bytes }, { "busiest_bytes_per_s", fleet.getBusiest().bytes }, { "peak_second_bytes", fleet.getPeakSecond().bytes } };
    }

} // namespace

nlohmann::json measureMembership()
{
    std::vector<Sample> meanBytes;
    std::vector<Sample> busiestBytes;
    std::vector<Sample> messages;
    std::vector<Sample> processor;
    std::vector<Sample> memory;
    for (int size : sizes) {
        double heapBefore = getHeapBytes();
        FleetModel fleet(size, designZones);
        double heapAfter = getHeapBytes();
        fleet.run(settleTime);
        fleet.resetTraffic();
        double before = getThreadSeconds();
        fleet.run(watchTime);
        double seconds = std::chrono::duration<double>(watchTime).count();

        double members = size;
        meanBytes.push_back({ members, fleet.getMean().bytes });
        busiestBytes.push_back({ members, fleet.getBusiest().bytes });
        messages.push_back({ members, fleet.getMean().messages });
        processor.push_back({ members, (getThreadSeconds() - before) / seconds / size * 100 });
        memory.push_back({ members, (heapAfter - heapBefore) / size });
    }
    return {
        { "bytes_per_s_mean", describe(meanBytes, "bytes sent and received per second, mean instance", designInstances) },
        { "bytes_per_s_busiest", describe(busiestBytes, "bytes sent and received per second, busiest instance", designInstances) },
        { "messages_per_s_mean", describe(messages, "messages sent and received per second, mean instance", designInstances) },
        { "processor_percent", describe(processor, "percent of a core per instance", designInstances) },
        { "memory_bytes", describe(memory, "heap bytes per instance", designInstances) },
    };
}

nlohmann::json measureMembershipStorms()
{
    nlohmann::json report;
    FleetModel fleet(designInstances, designZones);
    fleet.run(std::chrono::seconds(10));

    fleet.resetTraffic();
    fleet.stop([](const Member& member) { return member.zone == ZoneId("zone3"); });
    report["zone_lost"] = watchStorm(fleet);

    fleet.resetTraffic();
    fleet.restart();
    report["zone_back"] = watchStorm(fleet);

    fleet.resetTraffic();
    int number = 0;
    fleet.stop([&](const Member&) { return number++ % 5 == 0; });
    fleet.run(std::chrono::seconds(10));
    fleet.restart();
    report["restarts_at_once"] = watchStorm(fleet);
    report["restarts_at_once"]["instances"] = designInstances / 5;
    return report;
}

} // namespace lentiljunction::capacity
