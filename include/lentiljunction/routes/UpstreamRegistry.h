#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lentiljunction {

/// How long an upstream is kept that is missing from the snapshots of the store. Its entry in the store may expire
/// while the store is unavailable; running upstreams register again within two seconds of its return.
constexpr std::chrono::milliseconds missingUpstreamRetention { 2500 };

/// How long an upstream that was leaving is remembered after it is gone. Longer than a copy from which the store is
/// restored, or a snapshot, is old.
constexpr std::chrono::minutes leavingUpstreamRetention { 5 };

/// How long an upstream is remembered that is gone without having been leaving. It may return with its log.
constexpr std::chrono::seconds lostUpstreamRetention { 15 };

/// Holds the list of upstreams in force. Upstreams that are missing from a snapshot stay in it for a short time.
///
/// An upstream that was leaving is used again only after it was restarted: an entry that does not show it as leaving is
/// older, from a snapshot that is out of date or from a store that was restored.
///
/// Not thread-safe; the control thread owns it.
class UpstreamRegistry {
public:
    /// Updates the list with a snapshot from the store.
    ///
    /// @returns one log line for each change
    std::vector<std::string> offer(const UpstreamList& snapshot, TimePoint now);

    /// @returns the upstreams of a group that are gone without having been leaving, and have not returned
    std::vector<UpstreamId> listLost(const GroupId& group, TimePoint now) const;

    /// Tells an upstream that is gone from one whose entry may be on its way back: entries that expired while the store was
    /// unavailable return within missingUpstreamRetention, also if this process started after they expired.
    ///
    /// @returns whether an upstream is not in the list and counts as gone
    bool isGone(const UpstreamId& upstream, TimePoint now) const;

    /// @returns the list in force
    const std::shared_ptr<const UpstreamList>& getList() const { return this->list; }

private:
    std::shared_ptr<const UpstreamList> list = std::make_shared<UpstreamList>();
    /// An upstream that was leaving, and when a snapshot last contained it.
    struct LeavingUpstream {
        WallTime startedAt;
        TimePoint seenAt;
    };

    /// Sets an entry to leaving if the upstream was leaving before and was not restarted.
    void keepLeaving(UpstreamEntry& entry, TimePoint now);
    void forgetLeaving(TimePoint now);

    /// An upstream that is gone without having been leaving.
    struct LostUpstream {
        GroupId group;
        TimePoint lostAt;
    };

    /// When the first snapshot was offered.
    std::optional<TimePoint> offeredSince;
    std::map<UpstreamId, TimePoint> missingSince;
    std::map<UpstreamId, LeavingUpstream> leaving;
    std::map<UpstreamId, LostUpstream> lost;
};

} // namespace lentiljunction
