#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace lentiljunction::standins {

/// What goes wrong with a database member at present. Safe to call from any thread.
class FaultInjector {
public:
    /// Takes a change of faults.
    ///
    /// Fields, all optional: frozen (bool), cut_zones (array), delay_ms (by zone, one way), lag_ms,
    /// lose_answers (count), silence_connections (bool, those open now).
    void apply(const nlohmann::json& change);

    /// Blocks while the member is frozen.
    void waitWhileFrozen();

    /// @returns whether nothing passes between this member and a zone
    bool isCut(const std::string& zone);

    /// @returns the one-way delay to a zone
    std::chrono::milliseconds getDelay(const std::string& zone);

    /// @returns how long a replica waits before it applies a batch
    std::chrono::milliseconds getLag() const { return std::chrono::milliseconds(this->lagMilliseconds); }

    /// @returns whether the next answer is to be lost after its effect; counts down
    bool consumeDroppedResponse();

    /// @returns a number that rises when the connections open now go silent
    std::uint64_t getSilenceGeneration() const { return this->silenceGeneration; }

private:
    std::mutex mutex;
    std::condition_variable unfrozen;
    bool isFrozen = false;
    std::set<std::string> cutZones;
    std::map<std::string, int> delays;
    std::atomic<int> lagMilliseconds { 0 };
    int responsesToDrop = 0;
    std::atomic<std::uint64_t> silenceGeneration { 0 };
};

} // namespace lentiljunction::standins
