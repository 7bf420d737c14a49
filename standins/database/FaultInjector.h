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

/// The faults injected into a database member. Safe to call from any thread.
class FaultInjector {
public:
    /// Changes the faults. Fields that are absent keep their value.
    ///
    /// Fields, all optional: frozen (bool), cut_zones (array), delay_ms (by zone, one way), lag_ms,
    /// lose_answers (number of responses to drop), silence_connections (bool, applies to open connections).
    void apply(const nlohmann::json& change);

    /// Blocks while the member is frozen.
    void waitWhileFrozen();

    /// @returns whether this member is cut off from a zone
    bool isCut(const std::string& zone);

    /// @returns the one-way delay to a zone
    std::chrono::milliseconds getDelay(const std::string& zone);

    /// @returns how long a replica waits before it applies a batch
    std::chrono::milliseconds getLag() const { return std::chrono::milliseconds(this->lagMilliseconds); }

    /// Decrements the number of responses to drop.
    ///
    /// @returns whether to drop the response of a statement that was executed
    bool consumeDroppedResponse();

    /// @returns a number that is incremented when all open connections are silenced
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
