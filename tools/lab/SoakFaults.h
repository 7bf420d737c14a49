#pragma once

#include "GatewaySite.h"
#include "SoakHistory.h"
#include "SoakRelay.h"
#include "lentiljunction/core/Random.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// Injects random faults into a site: signals to the instances, faults of the relays in front of the
/// upstreams, faults of the store's ports, crashes of upstreams and planned changes of the primary.
///
/// Several threads may call injectRandomFault() at the same time, so faults overlap.
class SoakFaults {
public:
    /// The arguments must outlive this object.
    ///
    /// @param history receives processes that ended by themselves
    SoakFaults(GatewaySite& site, std::vector<std::unique_ptr<SoakRelay>>& relays, SoakHistory& history);

    /// Replaces half of the instances that are restarted by others with new ids, and lets the entries of crashed upstreams
    /// expire. Call it before the first fault.
    void replaceInstances() { this->replacesInstances = true; }

    /// Injects one fault, waits for a random time, and removes the fault. Blocks.
    ///
    /// @param random chooses the fault, its target and its duration
    /// @param isStopping ends the wait early when set
    void injectRandomFault(Random& random, const std::atomic<bool>& isStopping);

    /// Copies the store, makes it unavailable after a random time, and returns from the copy. Blocks. What operators and
    /// upstreams wrote is written again, possibly a little later.
    void restoreStore(Random& random, const std::atomic<bool>& isStopping);

    /// Kills all instances within some 100 ms after the primary was asked to leave, and starts them again. Blocks. injectRandomFault()
    /// must have returned in all threads.
    void killAllInstances(Random& random);

    /// Removes the faults of the store and of promotion calls and reports the upstreams to it as not leaving. injectRandomFault() must
    /// have returned in all threads.
    void clearFaults();

    /// Records the processes that ended by themselves. injectRandomFault() must have returned in all threads.
    void checkProcesses();

    /// @returns a description of each injected fault, in order
    std::vector<std::string> getScript();

private:
    bool checkIsRunning(std::size_t index);
    void checkEnd(std::size_t index, int signal, bool isLate);
    void pauseInstance(std::size_t index, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void restartInstance(std::size_t index, int signal, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void injectStoreFault(std::size_t index, standin::PlatformStore::Fault fault, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void impairUpstream(std::size_t index, SoakRelay::Mode mode, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void crashUpstream(std::size_t index, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void changePrimary();
    /// Changes the primary while promotion calls have a fault.
    void disturbPromotions(Random& random, std::size_t upstream, std::chrono::milliseconds duration, const std::atomic<bool>& isStopping);
    void reportUpstreams();
    void recordFault(const std::string& what);

    GatewaySite& site;
    std::vector<std::unique_ptr<SoakRelay>>& relays;
    SoakHistory& history;
    bool replacesInstances = false;
    /// One mutex per instance (pause, restart) and one for the group (relays, crashes, changes of primary): a
    /// second fault of the same target waits until the first has ended.
    std::vector<std::mutex> instanceMutexes;
    std::mutex groupMutex;
    std::mutex promotionMutex;
    std::mutex scriptMutex;
    std::vector<std::string> script;
};

} // namespace lentiljunction::lab
