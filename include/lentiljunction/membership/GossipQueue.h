#pragma once

#include "lentiljunction/membership/Member.h"

#include <vector>

namespace lentiljunction {

/// The changes of members that are piggybacked on probes, each a limited number of times, newest first.
///
/// Not thread-safe; the control thread owns it.
class GossipQueue {
public:
    /// Adds a change, which replaces an older one of the same member.
    ///
    /// @param member the member in its new state
    /// @param zoneSize the number of members of the own zone; the number of repeats grows with its logarithm
    void add(const Member& member, std::size_t zoneSize);

    /// Takes the changes for one message and counts one repeat for each.
    ///
    /// @returns the changes
    std::vector<Member> take();

    /// @returns the number of queued changes
    std::size_t getNumWaiting() const { return this->gossip.size(); }

private:
    struct QueuedUpdate {
        Member member;
        int remaining = 0;
    };

    std::vector<QueuedUpdate> gossip;
};

} // namespace lentiljunction
