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

/// Draws faults by a seed and puts them on a site from outside: signals to the instances, relays in front
/// of the upstreams, doors of the store, the group itself.
///
/// Several threads may call strike() at once, so faults overlap.
class SoakFaults {
public:
    /// All must outlive this object.
    SoakFaults(GatewaySite& site, std::vector<std::unique_ptr<SoakRelay>>& relays);

    /// Puts one fault on the site, waits, and takes it away again.
    ///
    /// @param random draws the fault
    /// @param isOver ends the wait early
    void strike(Random& random, const std::atomic<bool>& isOver);

    /// Takes everything away and starts what is down.
    void heal();

    /// @returns what was done, for the report
    std::vector<std::string> getScript();

private:
    void stopInstance(std::size_t index, std::chrono::milliseconds span, const std::atomic<bool>& isOver);
    void endInstance(std::size_t index, int signal, std::chrono::milliseconds span, const std::atomic<bool>& isOver);
    void breakDoor(std::size_t index, standin::PlatformStore::Fault fault, std::chrono::milliseconds span, const std::atomic<bool>& isOver);
    void cutUpstream(std::size_t index, SoakRelay::Mode mode, std::chrono::milliseconds span, const std::atomic<bool>& isOver);
    void crashUpstream(std::size_t index, std::chrono::milliseconds span, const std::atomic<bool>& isOver);
    void changePrimary();
    void note(const std::string& what);

    GatewaySite& site;
    std::vector<std::unique_ptr<SoakRelay>>& relays;
    /// One fault at a time on an instance, and on the group: a second would wait for the first.
    std::vector<std::mutex> instances;
    std::mutex group;
    std::mutex scriptMutex;
    std::vector<std::string> script;
};

} // namespace lentiljunction::lab
