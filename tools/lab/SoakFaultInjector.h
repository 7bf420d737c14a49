#pragma once

#include "GatewaySite.h"
#include "SoakRelay.h"
#include "lentiljunction/core/Random.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// Draws faults by a seed and puts them on a site from outside: signals to the instanceMutexes, relays in front
/// of the upstreams, doors of the store, the groupMutex itself.
///
/// Several threads may call injectRandomFault() at once, so faults overlap.
class SoakFaultInjector {
public:
    /// All must outlive this object.
    SoakFaultInjector(GatewaySite& site, std::vector<std::unique_ptr<SoakRelay>>& relays);

    /// Puts one fault on the site, waits, and takes it away again.
    ///
    /// @param random draws the fault
    /// @param isStopping ends the wait early
    void injectRandomFault(Random& random, const std::atomic<bool>& isStopping);

    /// Takes everything away and starts what is down.
    void clearFaults();

    /// @returns what was done, for the report
    std::vector<std::string> getScript();

private:
    void pauseInstance(std::size_t index, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void restartInstance(std::size_t index, int signal, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void injectStoreFault(std::size_t index, standin::PlatformStore::Fault fault, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void impairUpstream(std::size_t index, SoakRelay::Mode mode, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void crashUpstream(std::size_t index, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void changePrimary();
    void recordFault(const std::string& what);

    GatewaySite& site;
    std::vector<std::unique_ptr<SoakRelay>>& relays;
    /// One fault at a time on an instance, and on the groupMutex: a second would wait for the first.
    std::vector<std::mutex> instanceMutexes;
    std::mutex groupMutex;
    std::mutex scriptMutex;
    std::vector<std::string> script;
};

} // namespace lentiljunction::lab
