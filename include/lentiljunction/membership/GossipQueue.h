#pragma once

#include "lentiljunction/membership/Member.h"

#include <vector>

namespace lentiljunction {

/// Changes of members that ride on probes, each a limited number of times, the newest first.
///
/// Not thread-safe; the control thread owns it.
class GossipQueue {
public:
    /// Adds a change; an older one of the same member is replaced.
    ///
    /// @param member the member in its new state
    /// @param zoneSize members of this zone: the number of repeats grows with its logarithm
    void add(const Member& member, std::size_t zoneSize);

    /// @returns the changes for one message; each counts as repeated once
    std::vector<Member> take();

    /// @returns how many changes wait to be passed on
    std::size_t getNumWaiting() const { return this->rumours.size(); }

private:
    struct Rumour {
        Member member;
        int remaining = 0;
    };

    std::vector<Rumour> rumours;
};

} // namespace lentiljunction
