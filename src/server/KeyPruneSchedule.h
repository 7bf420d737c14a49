#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/peer/PeerMessage.h"

namespace lentiljunction {

/// Decides when the gate of a primary removes keys of writes that are no longer accepted.
///
/// Not thread-safe; the traffic thread owns it.
class KeyPruneSchedule {
public:
    /// Notes a write with a key, which leaves something to remove later.
    void onKeyedWrite() { this->hasKeyedWrites = true; }

    /// @returns whether to prune now; the first time comes one interval after the first look
    bool isDue(TimePoint now)
    {
        if (!this->hasKeyedWrites || now < this->next)
            return false;
        bool isFirst = this->next == TimePoint();
        this->next = now + interval;
        if (isFirst)
            return false;
        this->hasKeyedWrites = false;
        return true;
    }

private:
    /// Short against the time for which keys are kept, long against the cost of the statement.
    static constexpr Duration interval = std::chrono::minutes(1);

    bool hasKeyedWrites = false;
    TimePoint next;
};

/// @param oldest keys from before are not accepted any more
/// @returns the request that removes them at an upstream
HopRequest makePruneRequest(const DatabaseId& database, const UpstreamId& upstream, WallTime oldest);

} // namespace lentiljunction
