#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <map>
#include <memory>
#include <vector>

namespace lentiljunction {

/// How long an upstream is kept that is missing from the snapshots of the store. Its entry in the store may expire
/// while the store is unavailable; running upstreams register again within two seconds of its return.
constexpr std::chrono::milliseconds missingUpstreamRetention { 2500 };

/// Holds the list of upstreams in force. Upstreams that are missing from a snapshot stay in it for a short time.
///
/// Not thread-safe; the control thread owns it.
class UpstreamRegistry {
public:
    /// Updates the list with a snapshot from the store.
    ///
    /// @returns one log line for each change
    std::vector<std::string> offer(const UpstreamList& snapshot, TimePoint now);

    /// @returns the list in force
    const std::shared_ptr<const UpstreamList>& getList() const { return this->list; }

private:
    std::shared_ptr<const UpstreamList> list = std::make_shared<UpstreamList>();
    std::map<UpstreamId, TimePoint> missingSince;
};

} // namespace lentiljunction
