#pragma once

#include "GatewayFixture.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace lentiljunction {

/// Writes for some time.
///
/// @returns the items of the writes that were acknowledged
std::vector<std::string> writeFor(GatewayFixture& fixture, const std::string& prefix, std::chrono::milliseconds span);

/// Writes through all instances until it is stopped.
class Writers {
public:
    Writers(GatewayFixture& fixture, std::size_t numInstances);
    ~Writers() { this->stop(); }

    /// @returns the items of the writes that were acknowledged
    std::vector<std::string> stop();

    std::size_t countAcknowledged();

    /// @returns the longest time between two acknowledged writes
    std::chrono::milliseconds getLongestGap();

private:
    void write(std::uint16_t port, const std::string& prefix);

    std::atomic<bool> isStopped { false };
    std::mutex mutex;
    std::vector<std::string> acknowledged;
    std::chrono::steady_clock::time_point lastAt;
    std::chrono::steady_clock::duration longestGap {};
    std::vector<std::thread> threads;
};

/// Makes commits of the group wait for a replica.
void makeSynchronous(GatewayFixture& fixture);

/// @returns the number of items that the primary lacks
std::size_t countLost(GatewayFixture& fixture, const std::vector<std::string>& acknowledged);

/// Waits until the primary record lists a number of upstreams whose logs a failover must know.
///
/// @param mustHaveStarts whether the record must name their starts
bool waitForLogHolders(GatewayFixture& fixture, std::size_t number, bool mustHaveStarts = false);

} // namespace lentiljunction
