#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// How long an instance that the primary record lists as absent still counts in votes. Instances that reach the store read the
/// record within 1.6 s, also after it was away, and remove themselves.
constexpr std::chrono::milliseconds rollCallTime { 4000 };

/// Chooses the instances that the primary record lists as absent, so that votes need no majority of them.
///
/// An instance that was lost for good cannot remove its registration. One that is only cut off from this instance can still
/// remove itself from the list of absent ones, through the store. So neither of two sides that both reach the store
/// gets a majority by listing the other one.
///
/// Each one that returns writes to the record. So a few are listed first, the coordinator among them: if one of these returns, it
/// is this instance that is cut off, and it lists none for some time.
///
/// Not thread-safe; the control thread owns it.
///
/// @see PrimaryRecord::absent, MemberDirectory
class RollCall {
public:
    /// An instance was asked something.
    ///
    /// @param hasResponded whether it responded in time
    void onAsked(const InstanceId& instance, bool hasResponded, TimePoint now);

    /// A record was read or written. An instance that was listed and is not any more has returned.
    void onRecord(const std::set<InstanceId>& absent, TimePoint now);

    /// @param coordinator the failover coordinator, which is among the first
    /// @returns the instances to list now: those that have been silent for some time
    std::vector<InstanceId> listSilent(const InstanceId& coordinator, TimePoint now) const;

    /// This instance listed instances as absent.
    void onListed(const std::vector<InstanceId>& instances, TimePoint now);

private:
    struct Silence {
        TimePoint since;
        TimePoint lastAskedAt;
    };

    std::map<InstanceId, Silence> silences;
    std::set<InstanceId> lastAbsent;
    std::set<InstanceId> listed;
    /// When the first ones were listed.
    std::optional<TimePoint> firstListedAt;
    std::optional<TimePoint> returnedAt;
};

} // namespace lentiljunction
