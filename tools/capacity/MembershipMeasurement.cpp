#include "Fit.h"
#include "FleetModel.h"
#include "Machine.h"
#include "Measurements.h"

#include <functional>
#include <map>

namespace lentiljunction::capacity {

namespace {

    const std::vector<int> sizes { 64, 256, 700, 1400, designInstances };
    const std::vector<int> stormSizes { 64, 128, 256, 512 };
    constexpr Duration settleTime = std::chrono::seconds(25);
    constexpr Duration observationTime = std::chrono::seconds(30);

    /// Runs the fleet until all sampled instances agree or the time limit is reached.
    ///
    /// @returns the seconds of simulated time that passed
    double waitForAgreement(FleetModel& fleet)
    {
        constexpr int limit = 120;
        constexpr int step = 5;
        int seconds = 0;
        while (fleet.getAgreement() < 1 && seconds < limit) {
            fleet.run(std::chrono::seconds(step));
            seconds += step;
        }
        return seconds;
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
        double before = getThreadProcessorSeconds();
        fleet.run(observationTime);
        double seconds = std::chrono::duration<double>(observationTime).count();

        double members = size;
        meanBytes.push_back({ members, fleet.getMean().bytes });
        busiestBytes.push_back({ members, fleet.getBusiest().bytes });
        messages.push_back({ members, fleet.getMean().messages });
        processor.push_back({ members, (getThreadProcessorSeconds() - before) / seconds / size * 100 });
        memory.push_back({ members, (heapAfter - heapBefore) / size });
    }
    return {
        { "bytes_per_s_mean", toReport(meanBytes, "bytes sent and received per second, mean instance", designInstances) },
        { "bytes_per_s_busiest", toReport(busiestBytes, "bytes sent and received per second, busiest instance", designInstances) },
        { "messages_per_s_mean", toReport(messages, "messages sent and received per second, mean instance", designInstances) },
        { "processor_percent", toReport(processor, "percent of a core per instance", designInstances) },
        { "memory_bytes", toReport(memory, "heap bytes per instance", designInstances) },
    };
}

nlohmann::json measureMembershipStorms()
{
    std::map<std::string, std::vector<Sample>> seconds;
    std::map<std::string, std::vector<Sample>> bytes;
    std::map<std::string, std::vector<Sample>> peaks;
    std::function<void(const std::string&, int, FleetModel&)> record = [&](const std::string& storm, int size, FleetModel& fleet) {
        double members = size;
        seconds[storm].push_back({ members, waitForAgreement(fleet) });
        bytes[storm].push_back({ members, fleet.getMean().bytes });
        peaks[storm].push_back({ members, fleet.getPeakSecond().bytes });
    };
    for (int size : stormSizes) {
        FleetModel fleet(size, designZones);
        fleet.run(std::chrono::seconds(10));
        fleet.resetTraffic();
        fleet.stop([](const Member& member) { return member.zone == ZoneId("zone3"); });
        record("zone_lost", size, fleet);

        fleet.resetTraffic();
        fleet.restart();
        record("zone_back", size, fleet);

        fleet.resetTraffic();
        int number = 0;
        fleet.stop([&](const Member&) { return number++ % 5 == 0; });
        fleet.run(std::chrono::seconds(10));
        fleet.restart();
        record("fifth_restarted_at_once", size, fleet);
    }

    nlohmann::json report;
    for (const std::pair<const std::string, std::vector<Sample>>& storm : seconds) {
        report[storm.first] = {
            { "seconds_until_all_agree", toReport(storm.second, "seconds", designInstances) },
            { "mean_bytes_per_s", toReport(bytes[storm.first], "bytes per second, mean instance, until all agree", designInstances) },
            { "peak_second_bytes", toReport(peaks[storm.first], "bytes in the busiest second of any instance", designInstances) },
        };
    }
    return report;
}

} // namespace lentiljunction::capacity
