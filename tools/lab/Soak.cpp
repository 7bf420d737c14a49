#include "Soak.h"

#include "Cluster.h"
#include "GatewaySite.h"
#include "SoakCaller.h"
#include "SoakFaults.h"

#include <thread>

namespace lentiljunction::lab {

namespace {

    constexpr const char* loopback = "127.0.0.1";
    /// Time to recover after the last fault: enough for several times a restart, a change of primary and the
    /// expiry of a lease.
    constexpr std::chrono::seconds recoveryTimeout { 20 };
    constexpr std::chrono::milliseconds callerPause { 5 };
    constexpr std::uint64_t maximumFaultPauseMilliseconds = 1200;
    /// One of so many seeds ends with the kill of all instances.
    constexpr std::uint64_t seedsPerFinalFault = 3;
    constexpr std::uint64_t finalFaultLane = 99;
    /// Callers go on for as long as a promotion call may be late.
    constexpr std::chrono::seconds timeAfterFinalFault { 6 };

    /// A gateway site with a relay in front of each upstream.
    class RelayedSite {
    public:
        RelayedSite(const SoakPlan& plan, const std::string& binaries, const std::string& folder)
            : site(binaries, folder, plan.numZones)
        {
            this->site.getSite().setMaximumConnections(plan.maximumConnections);
        }

        ~RelayedSite() { this->loop.stop(); }

        bool start(int numInstances, Failure& failure)
        {
            if (!this->site.start(numInstances, failure))
                return false;
            this->loop.start();
            for (const char* id : { "u1", "u2", "u3" }) {
                Endpoint port { loopback, static_cast<std::uint16_t>(findFreePort()) };
                this->relays.push_back(std::make_unique<SoakRelay>(this->loop, this->site.getSite().publishAddress(id, port)));
                if (!this->relays.back()->listen(port, failure))
                    return false;
            }
            return true;
        }

        GatewaySite site;
        EventLoop loop;
        std::vector<std::unique_ptr<SoakRelay>> relays;
    };

    bool isServing(int port)
    {
        LineCaller caller(static_cast<std::uint16_t>(port), "bookings", std::chrono::seconds(2), SoakKeys::probeKey);
        return isServed(caller.execute("READ probe"));
    }

    void checkRecovery(const std::vector<int>& ports, SoakHistory& history)
    {
        std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + recoveryTimeout;
        for (std::size_t index = 0; index < ports.size(); index++) {
            while (!isServing(ports[index])) {
                if (std::chrono::steady_clock::now() > end)
                    return history.addViolation("not recovered: instance " + std::to_string(index + 1) + " serves no read after the last fault");
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        }
    }

    void checkWrites(standin::LineGroup& group, SoakHistory& history)
    {
        for (const std::pair<const std::string, SoakHistory::WriteOutcome>& write : history.getWrites()) {
            std::size_t number = group.countCommits(write.first);
            if (number > 1)
                history.addViolation("twice: " + write.first + " took effect " + std::to_string(number) + " times");
            if (write.second == SoakHistory::WriteOutcome::Refused && number > 0)
                history.addViolation("untrue refusal: " + write.first + " was refused but took effect");
            if (write.second != SoakHistory::WriteOutcome::Acknowledged)
                continue;
            if (number == 0)
                history.addViolation("lost: " + write.first + " was acknowledged but did not take effect");
            if (group.isCommittedByFormerPrimary(write.first))
                history.addViolation("two primaries: " + write.first + " was acknowledged by an upstream that had been replaced as the primary");
        }
    }

    nlohmann::json makeReport(const SoakPlan& plan, SoakHistory& history, SoakFaults& faults, std::uint64_t numSteps, std::uint64_t term)
    {
        std::map<SoakHistory::WriteOutcome, std::size_t> outcomes;
        for (const std::pair<const std::string, SoakHistory::WriteOutcome>& write : history.getWrites())
            outcomes[write.second]++;
        return { { "seed", plan.seed }, { "seconds", plan.seconds }, { "steps", numSteps }, { "acknowledged", outcomes[SoakHistory::WriteOutcome::Acknowledged] },
            { "refused", outcomes[SoakHistory::WriteOutcome::Refused] }, { "unknown", outcomes[SoakHistory::WriteOutcome::Unknown] }, { "changes_of_primary", term - 1 },
            { "script", faults.getScript() }, { "violations", history.getViolations() } };
    }

} // namespace

nlohmann::json runSoak(const SoakPlan& plan, const std::string& binaries, const std::string& folder)
{
    RelayedSite relayed(plan, binaries, folder);
    SoakHistory history;
    std::unique_ptr<SoakKeys> keys = plan.hasWorkspaces ? std::make_unique<SoakKeys>(relayed.site.getSite(), history) : nullptr;
    Failure failure;
    if (!relayed.start(plan.numInstances, failure))
        return { { "violations", { "not started: " + failure.reason } } };
    standin::LineGroup& group = relayed.site.getSite().getGroup();
    checkRecovery(relayed.site.getSessionPorts(), history);

    SoakFaults faults(relayed.site, relayed.relays, history);
    if (plan.replacesInstances)
        faults.replaceInstances();
    std::atomic<bool> isStopping { false };
    std::atomic<bool> areCallersStopping { false };
    std::atomic<std::uint64_t> numSteps { 0 };
    std::vector<std::thread> callers;
    std::vector<std::thread> threads;
    for (int number = 0; number < plan.numCallers; number++) {
        callers.emplace_back([&, number] {
            SoakCaller caller(number, plan.seed, { relayed.site.getSessionPorts(), [&group] { return group.findHighestTerm(); }, keys.get() }, history);
            while (!areCallersStopping) {
                caller.step();
                std::this_thread::sleep_for(callerPause);
            }
            numSteps += caller.getNumSteps();
        });
    }
    for (int faultThread = 0; faultThread < plan.numFaultThreads; faultThread++) {
        threads.emplace_back([&, faultThread] {
            Random random(plan.seed * 100 + static_cast<std::uint64_t>(faultThread));
            while (!isStopping) {
                std::this_thread::sleep_for(std::chrono::milliseconds(random.below(maximumFaultPauseMilliseconds)));
                if (!isStopping)
                    faults.injectRandomFault(random, isStopping);
            }
        });
    }
    if (plan.restoresStore) {
        threads.emplace_back([&] {
            Random random(plan.seed * 100 + static_cast<std::uint64_t>(plan.numFaultThreads));
            while (!isStopping)
                faults.restoreStore(random, isStopping);
        });
    }
    if (keys != nullptr) {
        threads.emplace_back([&] {
            Random random(plan.seed * 100 + static_cast<std::uint64_t>(plan.numFaultThreads) + 1);
            while (!isStopping)
                keys->replaceKey(random, isStopping);
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(plan.seconds));
    isStopping = true;
    for (std::thread& thread : threads)
        thread.join();
    Random finalRandom(plan.seed * 100 + finalFaultLane);
    if (finalRandom.below(seedsPerFinalFault) == 0 || plan.hasFinalFault) {
        faults.killAllInstances(finalRandom);
        std::this_thread::sleep_for(timeAfterFinalFault);
    }
    areCallersStopping = true;
    for (std::thread& caller : callers)
        caller.join();
    faults.clearFaults();
    checkRecovery(relayed.site.getSessionPorts(), history);
    faults.checkProcesses();
    checkWrites(group, history);
    if (keys != nullptr)
        keys->checkArrivals();
    nlohmann::json report = makeReport(plan, history, faults, numSteps, group.findHighestTerm());
    if (keys != nullptr)
        report["keys_removed"] = keys->countRemoved();
    return report;
}

} // namespace lentiljunction::lab
