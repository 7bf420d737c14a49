#include "SoakFaults.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace lentiljunction::lab {

namespace {

    using Fault = standin::PlatformStore::Fault;

    /// Faults last from less than the lease of an instance to more than a change of primary.
    constexpr std::uint64_t minimumDurationMilliseconds = 100;
    constexpr std::uint64_t durationRangeMilliseconds = 3900;
    constexpr std::uint64_t maximumOutageMilliseconds = 2500;
    constexpr std::uint64_t maximumRewriteMilliseconds = 1500;
    /// Promotion calls are late, or carried out again, by as much as writes of the platform's store.
    constexpr std::uint64_t minimumLatenessMilliseconds = 1000;
    constexpr std::uint64_t latenessRangeMilliseconds = 5000;
    constexpr std::uint64_t maximumResponseMilliseconds = 2000;
    constexpr std::uint64_t maximumKillPauseMilliseconds = 50;
    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr std::chrono::seconds exitTimeout { 10 };
    constexpr int signalExitCodeBase = 128;
    const std::vector<std::string> upstreams { "u1", "u2", "u3" };
    const std::vector<Fault> storeFaults { Fault::Unavailable, Fault::TooManyRequests, Fault::Silent, Fault::DropsResponses, Fault::LateWrites };
    const std::vector<SoakRelay::Mode> relayModes { SoakRelay::Mode::Delayed, SoakRelay::Mode::DropRequests, SoakRelay::Mode::DropResponses, SoakRelay::Mode::DropAll };

    void wait(std::chrono::milliseconds duration, const std::atomic<bool>& isStopping)
    {
        std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + duration;
        while (!isStopping && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(pollInterval);
    }

    standin::PromotionFault drawPromotionFault(Random& random)
    {
        std::uint64_t kind = random.below(5);
        std::chrono::milliseconds lateness(minimumLatenessMilliseconds + random.below(latenessRangeMilliseconds));
        standin::PromotionFault fault;
        if (kind == 0)
            fault.answeredAfter = std::chrono::milliseconds(random.below(maximumResponseMilliseconds));
        fault.isLost = kind == 1;
        fault.isAnswered = kind != 2 && kind != 3;
        if (kind == 2)
            fault.carriedOutAfter = lateness;
        if (kind == 3 || kind == 4)
            fault.repeatedAfter = lateness;
        return fault;
    }

} // namespace

SoakFaults::SoakFaults(GatewaySite& site, std::vector<std::unique_ptr<SoakRelay>>& relays, SoakHistory& history)
    : site(site)
    , relays(relays)
    , history(history)
    , instanceMutexes(site.getProcesses().size())
{
}

void SoakFaults::recordFault(const std::string& what)
{
    std::lock_guard<std::mutex> lock(this->scriptMutex);
    this->script.push_back(what);
}

std::vector<std::string> SoakFaults::getScript()
{
    std::lock_guard<std::mutex> lock(this->scriptMutex);
    return this->script;
}

void SoakFaults::injectRandomFault(Random& random, const std::atomic<bool>& isStopping)
{
    std::chrono::milliseconds duration(minimumDurationMilliseconds + random.below(durationRangeMilliseconds));
    std::size_t instance = random.below(this->instanceMutexes.size());
    std::size_t upstream = random.below(upstreams.size());
    switch (random.below(10)) {
    case 0:
        return this->pauseInstance(instance, duration, isStopping);
    case 1:
        return this->restartInstance(instance, SIGKILL, duration, isStopping);
    case 2:
        return this->restartInstance(instance, SIGTERM, duration, isStopping);
    case 3:
        this->recordFault("SIGHUP to instance " + std::to_string(instance + 1));
        return this->site.signal(instance, SIGHUP);
    case 4:
        return this->injectStoreFault(instance, storeFaults[random.below(storeFaults.size())], duration, isStopping);
    case 5:
        return this->impairUpstream(upstream, relayModes[random.below(relayModes.size())], duration, isStopping);
    case 6:
        this->recordFault("connections to " + upstreams[upstream] + " reset");
        return this->relays[upstream]->reset();
    case 7:
        return this->crashUpstream(upstream, duration, isStopping);
    case 8:
        return this->disturbPromotions(random, upstream, duration, isStopping);
    default:
        return this->changePrimary();
    }
}

void SoakFaults::pauseInstance(std::size_t index, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping)
{
    std::lock_guard<std::mutex> lock(this->instanceMutexes[index]);
    this->recordFault("instance " + std::to_string(index + 1) + " stopped for " + std::to_string(duration.count()) + " ms");
    this->site.getProcesses()[index]->signal(SIGSTOP);
    wait(duration, isStopping);
    this->site.getProcesses()[index]->signal(SIGCONT);
}

bool SoakFaults::checkIsRunning(std::size_t index)
{
    Process& process = *this->site.getProcesses()[index];
    if (process.isRunning())
        return true;
    this->history.addViolation("ended by itself: instance " + std::to_string(index + 1) + " with code " + std::to_string(process.wait()));
    return false;
}

void SoakFaults::checkEnd(std::size_t index, int signal, bool isLate)
{
    int code = this->site.getProcesses()[index]->wait();
    std::string name = "instance " + std::to_string(index + 1);
    if (isLate)
        return this->history.addViolation("not stopped: " + name + " still ran " + std::to_string(exitTimeout.count()) + " s after signal " + std::to_string(signal));
    // A process that is stopped before it handles signals ends by the signal.
    if (code != signalExitCodeBase + signal && !(signal == SIGTERM && code == 0))
        this->history.addViolation("ended by itself: " + name + " with code " + std::to_string(code) + " after signal " + std::to_string(signal));
}

void SoakFaults::checkProcesses()
{
    for (std::size_t index = 0; index < this->instanceMutexes.size(); index++)
        this->checkIsRunning(index);
}

void SoakFaults::restartInstance(std::size_t index, int signal, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping)
{
    std::lock_guard<std::mutex> lock(this->instanceMutexes[index]);
    this->recordFault("signal " + std::to_string(signal) + " to instance " + std::to_string(index + 1) + ", restarted after " + std::to_string(duration.count()) + " ms");
    Process& process = *this->site.getProcesses()[index];
    if (this->checkIsRunning(index)) {
        process.signal(signal);
        std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + exitTimeout;
        while (process.isRunning() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(pollInterval);
        bool isLate = process.isRunning();
        process.signal(SIGKILL);
        this->checkEnd(index, signal, isLate);
    }
    wait(duration, isStopping);
    // Without a draw of its own, the faults of a seed are the same with and without replacements.
    bool isReplaced = this->replacesInstances && duration.count() % 2 == 0;
    if (!isReplaced)
        return this->site.restart(index);
    this->recordFault("instance " + std::to_string(index + 1) + " is replaced by one with another id");
    this->site.replace(index);
}

void SoakFaults::injectStoreFault(std::size_t index, Fault fault, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping)
{
    this->recordFault("store of instance " + std::to_string(index + 1) + " has fault " + std::to_string(static_cast<int>(fault)) + " for " + std::to_string(duration.count()) + " ms");
    this->site.getSite().getStore().setPortFault(index, fault);
    wait(duration, isStopping);
    this->site.getSite().getStore().setPortFault(index, Fault::None);
}

void SoakFaults::impairUpstream(std::size_t index, SoakRelay::Mode mode, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping)
{
    std::lock_guard<std::mutex> lock(this->groupMutex);
    this->recordFault("relay of " + upstreams[index] + " in mode " + std::to_string(static_cast<int>(mode)) + " for " + std::to_string(duration.count()) + " ms");
    // An upstream that the instances cannot reach may also be isolated from its group. Only this mode does so.
    bool isCutOff = mode == SoakRelay::Mode::DropAll;
    this->site.getSite().getGroup().setIsolated(upstreams[index], isCutOff);
    this->relays[index]->setMode(mode);
    wait(duration, isStopping);
    this->relays[index]->setMode(SoakRelay::Mode::PassThrough);
    this->site.getSite().getGroup().setIsolated(upstreams[index], false);
}

void SoakFaults::crashUpstream(std::size_t index, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping)
{
    std::lock_guard<std::mutex> lock(this->groupMutex);
    this->recordFault(upstreams[index] + " crashes for " + std::to_string(duration.count()) + " ms");
    this->site.getSite().getGroup().crash(upstreams[index]);
    // As after three pings that are missing.
    if (this->replacesInstances)
        this->site.getSite().getStore().remove("servers", upstreams[index]);
    wait(duration, isStopping);
    Failure failure;
    if (!this->site.getSite().getGroup().restart(upstreams[index], failure))
        this->recordFault("upstream did not restart: " + failure.reason);
    if (this->replacesInstances)
        this->site.getSite().report(upstreams[index], upstreams[index] == this->site.getSite().getGroup().findPrimary());
}

void SoakFaults::changePrimary()
{
    std::lock_guard<std::mutex> lock(this->groupMutex);
    std::string primary = this->site.getSite().getGroup().findPrimary();
    // During a change of primary, the group may have none.
    if (primary.empty())
        return;
    this->recordFault(primary + " announces that it leaves");
    this->site.getSite().report(primary, true, true);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    this->site.getSite().report(primary, primary == this->site.getSite().getGroup().findPrimary());
}

void SoakFaults::disturbPromotions(Random& random, std::size_t upstream, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping)
{
    std::lock_guard<std::mutex> lock(this->promotionMutex);
    standin::PromotionFault fault = drawPromotionFault(random);
    bool isCrash = random.below(2) == 0;
    this->recordFault("promotion calls are " + fault.describe() + ", for " + std::to_string(duration.count()) + " ms from a change of primary on");
    this->site.getSite().getPromotionEndpoint().setFault(fault);
    if (isCrash) {
        std::string primary = this->site.getSite().getGroup().findPrimary();
        std::vector<std::string>::const_iterator found = std::find(upstreams.begin(), upstreams.end(), primary);
        this->crashUpstream(found == upstreams.end() ? upstream : static_cast<std::size_t>(found - upstreams.begin()), duration, isStopping);
    } else {
        this->changePrimary();
        wait(duration, isStopping);
    }
    this->site.getSite().getPromotionEndpoint().setFault({});
}

void SoakFaults::killAllInstances(Random& random)
{
    std::string primary = this->site.getSite().getGroup().findPrimary();
    std::chrono::milliseconds pause(minimumDurationMilliseconds + random.below(durationRangeMilliseconds));
    standin::PromotionFault fault = drawPromotionFault(random);
    this->recordFault("final fault: " + primary + " announces that it leaves, promotion calls are " + fault.describe() + ", all instances are killed and restarted after " + std::to_string(pause.count()) + " ms");
    this->site.getSite().getPromotionEndpoint().setFault(fault);
    if (!primary.empty())
        this->site.getSite().report(primary, true, true);
    this->checkProcesses();
    std::this_thread::sleep_for(std::chrono::milliseconds(random.below(minimumDurationMilliseconds)));
    for (std::size_t index = 0; index < this->instanceMutexes.size(); index++) {
        std::this_thread::sleep_for(std::chrono::milliseconds(random.below(maximumKillPauseMilliseconds / this->instanceMutexes.size() + 1)));
        this->site.signal(index, SIGKILL);
    }
    for (std::size_t index = 0; index < this->instanceMutexes.size(); index++)
        this->site.getProcesses()[index]->wait();
    std::this_thread::sleep_for(pause);
    for (std::size_t index = 0; index < this->instanceMutexes.size(); index++)
        this->site.restart(index);
}

void SoakFaults::restoreStore(Random& random, const std::atomic<bool>& isStopping)
{
    standin::PlatformStore& store = this->site.getSite().getStore();
    std::chrono::milliseconds age(minimumDurationMilliseconds + random.below(durationRangeMilliseconds));
    std::chrono::milliseconds outage(random.below(maximumOutageMilliseconds));
    store.saveCopy();
    wait(age, isStopping);
    this->recordFault("store restored after " + std::to_string(outage.count()) + " ms from a copy of " + std::to_string(age.count()) + " ms before");
    store.setFault(Fault::Unavailable);
    wait(outage, isStopping);
    store.restoreCopy();
    store.setFault(Fault::None);
    wait(std::chrono::milliseconds(random.below(maximumRewriteMilliseconds)), isStopping);
    std::lock_guard<std::mutex> lock(this->groupMutex);
    this->site.getSite().configure(1, { "bookings", "checks" });
    this->reportUpstreams();
}

void SoakFaults::reportUpstreams()
{
    for (const std::string& upstream : upstreams)
        this->site.getSite().report(upstream, upstream == this->site.getSite().getGroup().findPrimary());
}

void SoakFaults::clearFaults()
{
    this->reportUpstreams();
    this->site.getSite().getStore().setFault(Fault::None);
    this->site.getSite().getPromotionEndpoint().setFault({});
}

} // namespace lentiljunction::lab
