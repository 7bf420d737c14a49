#pragma once

#include "CommitProtection.h"
#include "PrimaryRecordWriter.h"
#include "UpstreamCommander.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/leadership/OpenPromotions.h"

#include <map>
#include <set>
#include <vector>

namespace lentiljunction {

/// Removes promotion calls from the record that have ended, while this instance is the failover coordinator.
///
/// A call for another upstream than the primary is removed once it can no longer take effect and, asked after that, each listed
/// upstream of the group shows that it has not: the primary leads the term of the record, and the others are replicas in no
/// later one. Until then a lease does not cover the group. After silentCallLimit, those that respond suffice.
///
/// Not thread-safe; the control thread owns it.
///
/// @see OpenPromotionTracker
class OpenPromotionRemoval {
public:
    OpenPromotionRemoval(const Clock& clock, UpstreamCommander& commander, PrimaryRecordWriter& writer, const CommitProtection::KnownState& state, InstanceId self);

    /// Looks for calls that have ended. Call it after the primary record was read.
    void check();

private:
    /// The statuses of the upstreams of one group, requested after calls had ended.
    struct Survey {
        std::uint64_t number = 0;
        std::uint64_t generation = 0;
        TimePoint startedAt;
        std::vector<OpenPromotion> ended;
        std::set<UpstreamId> pending;
        std::map<UpstreamId, std::optional<ReplicationStatus>> statuses;
    };

    void start(const GroupId& group, const PrimaryEntry& entry, std::vector<OpenPromotion> ended);
    void onStatus(const GroupId& group, std::uint64_t number, const UpstreamId& upstream, const std::optional<ReplicationStatus>& status);
    void remove(const GroupId& group, const Survey& survey);
    /// Removes ended calls for the primaries themselves, which need no survey. Otherwise an instance that starts later would
    /// wait for them once more, should such a primary be replaced.
    void removeOfPrimaries(const PrimaryRecord& record);

    const Clock& clock;
    UpstreamCommander& commander;
    PrimaryRecordWriter& writer;
    const CommitProtection::KnownState& state;
    InstanceId self;
    std::map<GroupId, Survey> surveys;
    std::uint64_t nextNumber = 0;
    bool isRemovingOfPrimaries = false;
};

} // namespace lentiljunction
