#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/settings/Settings.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// What an upstream last reported about itself.
struct UpstreamEntry {
    UpstreamId id;
    GroupId group;
    Endpoint endpoint;
    ZoneId zone;
    /// Statements that it executes concurrently.
    int slots = 1;
    /// It will stop soon and receives no new statements.
    bool isLeaving = false;
    /// It reports itself as the primary. This may be outdated when it is partitioned from the others.
    bool claimsPrimary = false;
    /// When its process started, as it reports; tells a restarted upstream from the one before under the same id.
    std::optional<WallTime> startedAt = std::nullopt;
};

/// All known upstreams at one time. Immutable.
struct UpstreamList {
    std::map<UpstreamId, UpstreamEntry> entries;
    /// The revision of the store that the list shows, and the era that issued it.
    StoreVersion revision {};
    StoreEra era {};

    /// @returns the entry of an upstream, or nullptr when it is not in the list
    const UpstreamEntry* find(const UpstreamId& id) const
    {
        std::map<UpstreamId, UpstreamEntry>::const_iterator found = this->entries.find(id);
        return found == this->entries.end() ? nullptr : &found->second;
    }
};

} // namespace lentiljunction
