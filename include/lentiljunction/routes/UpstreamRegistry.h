#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <map>
#include <memory>
#include <vector>

namespace lentiljunction {

/// How long an upstream that is missing from the list is still believed in. Entries may lapse while
/// the store is away; those that live are back within two seconds of its return.
constexpr std::chrono::milliseconds missingUpstreamRetention { 2500 };

/// Keeps the list of upstreams from one reading to the next.
///
/// Not thread-safe; the control thread owns it.
class UpstreamRegistry {
public:
    /// Takes what was read.
    ///
    /// @returns one line for each change, empty when there is none
    std::vector<std::string> offer(const UpstreamList& snapshot, TimePoint now);

    /// @returns the list in force
    const std::shared_ptr<const UpstreamList>& getList() const { return this->list; }

private:
    std::shared_ptr<const UpstreamList> list = std::make_shared<UpstreamList>();
    std::map<UpstreamId, TimePoint> missingSince;
};

} // namespace lentiljunction
