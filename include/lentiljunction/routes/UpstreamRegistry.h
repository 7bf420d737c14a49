#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <map>
#include <memory>
#include <vector>

namespace lentiljunction {

/// How long an upstream that is missing from the list is kept. Entries may expire while the store is
/// unavailable; running upstreams are listed again within two seconds of its return.
constexpr std::chrono::milliseconds missingUpstreamRetention { 2500 };

/// Holds the list of upstreams and keeps recently missing ones in it.
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
