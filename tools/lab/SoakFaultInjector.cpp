#include "SoakFaultInjector.h"

#include <csignal>
#include <thread>

namespace lentiljunction::lab {

namespace {

    using Fault = standin::PlatformStore::Fault;

    /// From shorter than a permit to longer than a change of primary.
    constexpr std::uint64_t shortestSpan = 100;
    constexpr std::uint64_t spanRange = 3900;
    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr std::chrono::seconds stopLimit { 10 };
    const std::vector<std::string> upstreams { "u1", "u2", "u3" };
    const std::vector<Fault> doorFaults { Fault::Unavailable, Fault::TooMany, Fault::Silent, Fault::LosesAnswers, Fault::LateWrites };
    const std::vector<SoakRelay::Mode> relayModes { SoakRelay::Mode::Delayed, SoakRelay::Mode::MuteRequests, SoakRelay::Mode::MuteAnswers, SoakRelay::Mode::Silent };

    void wait(std::chrono::milliseconds span, const std::atomic<bool>& isOver)
    {
        std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + span;
        while (!isOver && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(pollInterval);
    }

} // namespace

SoakFaults::SoakFaults(GatewaySite& site, std::vector<std::unique_ptr<SoakRelay>>& relays)
    : site(site)
    , relays(relays)
    , instances(site.getProcesses().size())
{
}

void SoakFaults::note(const std::string& what)
{
    std::lock_guard<std::mutex> lock(this->scriptMutex);
    this->script.push_back(what);
}

std::vector<std::string> SoakFaults::getScript()
{
    std::lock_guard<std::mutex> lock(this->scriptMutex);
    return this->script;
}

void SoakFaults::strike(Random& random, const std::atomic<bool>& isOver)
{
    std::chrono::milliseconds span(shortestSpan + random.below(spanRange));
    std::size_t instance = random.below(this->instances.size());
    std::size_t upstream = random.below(upstreams.size());
    switch (random.below(9)) {
    case 0:
        return this->stopInstance(instance, span, isOver);
    case 1:
        return this->endInstance(instance, SIGKILL, span, isOver);
    case 2:
        return this->endInstance(instance, SIGTERM, span, isOver);
    case 3:
        this->note("SIGHUP to instance " + std::to_string(instance + 1));
        return this->site.getProcesses()[instance]->signal(SIGHUP);
    case 4:
        return this->breakDoor(instance, doorFaults[random.below(doorFaults.size())], span, isOver);
    case 5:
        return this->cutUpstream(upstream, relayModes[random.below(relayModes.size())], span, isOver);
    case 6:
        this->note("connections to " + upstreams[upstream] + " reset");
        return this->relays[upstream]->reset();
    case 7:
        return this->crashUpstream(upstream, span, isOver);
    default:
        return this->changePrimary();
    }
}

void SoakFaults::stopInstance(std::size_t index, std::chrono::milliseconds span, const std::atomic<bool>& isOver)
{
    std::lock_guard<std::mutex> lock(this->instances[index]);
    this->note("instance " + std::to_string(index + 1) + " stopped for " + std::to_string(span.count()) + " ms");
    this->site.getProcesses()[index]->signal(SIGSTOP);
    wait(span, isOver);
    this->site.getProcesses()[index]->signal(SIGCONT);
}

void SoakFaults::endInstance(std::size_t index, int signal, std::chrono::milliseconds span, const std::atomic<bool>& isOver)
{
    std::lock_guard<std::mutex> lock(this->instances[index]);
    this->note("signal " + std::to_string(signal) + " to instance " + std::to_string(index + 1) + ", again after " + std::to_string(span.count()) + " ms");
    Process& process = *this->site.getProcesses()[index];
    process.signal(signal);
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + stopLimit;
    while (process.isRunning() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(pollInterval);
    process.signal(SIGKILL);
    process.wait();
    wait(span, isOver);
    this->site.restart(index);
}

void SoakFaults::breakDoor(std::size_t index, Fault fault, std::chrono::milliseconds span, const std::atomic<bool>& isOver)
{
    this->note("store of instance " + std::to_string(index + 1) + " has fault " + std::to_string(static_cast<int>(fault)) + " for " + std::to_string(span.count()) + " ms");
    this->site.getSite().getStore().setDoorFault(index, fault);
    wait(span, isOver);
    this->site.getSite().getStore().setDoorFault(index, Fault::None);
}

void SoakFaults::cutUpstream(std::size_t index, SoakRelay::Mode mode, std::chrono::milliseconds span, const std::atomic<bool>& isOver)
{
    std::lock_guard<std::mutex> lock(this->group);
    this->note("relay of " + upstreams[index] + " in mode " + std::to_string(static_cast<int>(mode)) + " for " + std::to_string(span.count()) + " ms");
    // Cut off from the instances, an upstream may be cut off from its group as well.
    bool isCutOff = mode == SoakRelay::Mode::Silent;
    this->site.getSite().getGroup().setIsolated(upstreams[index], isCutOff);
    this->relays[index]->setMode(mode);
    wait(span, isOver);
    this->relays[index]->setMode(SoakRelay::Mode::Pass);
    this->site.getSite().getGroup().setIsolated(upstreams[index], false);
}

void SoakFaults::crashUpstream(std::size_t index, std::chrono::milliseconds span, const std::atomic<bool>& isOver)
{
    std::lock_guard<std::mutex> lock(this->group);
    this->note(upstreams[index] + " crashes for " + std::to_string(span.count()) + " ms");
    this->site.getSite().getGroup().crash(upstreams[index]);
    wait(span, isOver);
    Failure failure;
    if (!this->site.getSite().getGroup().restart(upstreams[index], failure))
        this->note("upstream did not start again: " + failure.reason);
}

void SoakFaults::changePrimary()
{
    std::lock_guard<std::mutex> lock(this->group);
    std::string primary = this->site.getSite().getGroup().findPrimary();
    // While a change is under way, no upstream may be the primary.
    if (primary.empty())
        return;
    this->note(primary + " leaves in order");
    this->site.getSite().report(primary, true, true);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    this->site.getSite().report(primary, primary == this->site.getSite().getGroup().findPrimary());
}

void SoakFaults::heal()
{
    for (const std::string& upstream : upstreams)
        this->site.getSite().report(upstream, upstream == this->site.getSite().getGroup().findPrimary());
    this->site.getSite().getStore().setFault(Fault::None);
}

} // namespace lentiljunction::lab
