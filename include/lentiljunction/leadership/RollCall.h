#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <map>
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
/// Not thread-safe; the control thread owns it.
///
/// @see PrimaryRecord::absent, MemberDirectory
class RollCall {
public:
    /// An instance was asked something.
    ///
    /// @param hasResponded whether it responded in time
    void onAsked(const InstanceId& instance, bool hasResponded, TimePoint now);

    /// A record was read or written. An instance that this one listed and that is no longer listed has returned.
    void onRecord(const std::set<InstanceId>& absent, TimePoint now);

    /// @returns the instances to list now: those that have been silent for some time, and did not return recently
    std::vector<InstanceId> listSilent(TimePoint now) const;

    /// This instance listed an instance as absent.
    void onListed(const InstanceId& instance) { this->listed.insert(instance); }

private:
    struct Silence {
        TimePoint since;
        TimePoint lastAskedAt;
    };

    std::map<InstanceId, Silence> silences;
    std::set<InstanceId> listed;
    std::map<InstanceId, TimePoint> returnedAt;
};

} // namespace lentiljunction
