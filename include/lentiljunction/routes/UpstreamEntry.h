#pragma once

#include "lentiljunction/core/Ids.h"
#include "lentiljunction/settings/Settings.h"

#include <map>

namespace lentiljunction {

/// What an upstream last reported about itself.
struct UpstreamEntry {
    UpstreamId id;
    GroupId group;
    Endpoint endpoint;
    ZoneId zone;
    /// Statements that it executes at one time.
    int slots = 1;
    /// It will stop soon and gets no new work.
    bool isLeaving = false;
    /// It takes itself for the primary. Cut off from the others it may be wrong.
    bool claimsPrimary = false;
};

/// All upstreams that are known at one time. Immutable.
struct UpstreamList {
    std::map<UpstreamId, UpstreamEntry> entries;

    /// @returns the entry of an upstream, or nullptr when it is gone
    const UpstreamEntry* find(const UpstreamId& id) const
    {
        std::map<UpstreamId, UpstreamEntry>::const_iterator found = this->entries.find(id);
        return found == this->entries.end() ? nullptr : &found->second;
    }
};

} // namespace lentiljunction
