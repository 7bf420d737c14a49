#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/peer/PeerMessage.h"

namespace lentiljunction {

/// Decides when the gate of a primary deletes expired idempotency keys.
///
/// Not thread-safe; the traffic thread owns it.
class KeyPruneSchedule {
public:
    /// Records a write with a key, which will have to be deleted later.
    void onKeyedWrite() { this->hasKeyedWrites = true; }

    /// @returns whether to prune now; at the earliest one interval after the first call that follows a
    /// keyed write
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
    /// Short compared with the retention of keys, long compared with the cost of the statement.
    static constexpr Duration interval = std::chrono::minutes(1);

    bool hasKeyedWrites = false;
    TimePoint next;
};

/// @param oldest keys issued before this time are deleted
/// @returns the request that deletes expired keys at an upstream
HopRequest makePruneRequest(const DatabaseId& database, const UpstreamId& upstream, WallTime oldest);

} // namespace lentiljunction
