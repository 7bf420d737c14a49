#pragma once

#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/leadership/LeaseTracker.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// Time from the first read of a record that the store lost to its recovery by the last known coordinator: the leases
/// of the previous era expire, and promotions that were requested within them take effect.
constexpr std::chrono::milliseconds recordRecoveryDelay { 3100 };
/// The same for another instance, which must not act within the time that the platform grants a coordinator.
constexpr std::chrono::milliseconds recordTakeoverDelay = recordRecoveryDelay + leaseDuration;

/// Makes the record that replaces a lost one in a new era of the store.
///
/// Its epoch exceeds that of any coordinator of an earlier era, also of one whose record was lost. No group is
/// confirmed, so that no lease covers its primary yet; failovers in progress stay in progress.
///
/// @param known the newest record that the recovering instance knows
/// @param coordinator the recovering instance
PrimaryRecord makeRecoveredRecord(const PrimaryRecord& known, const InstanceId& coordinator, StoreEra era);

/// Finds the primary of a group whose failovers may have been lost.
///
/// @param statuses of all upstreams of the group; nothing for one that did not respond
/// @returns the primary, or nothing when an upstream that did not respond, or one in a higher term, might be it
std::optional<UpstreamId> findConfirmedPrimary(const std::map<UpstreamId, std::optional<ReplicationStatus>>& statuses);

/// Makes the entry of a primary that the upstreams have confirmed.
///
/// @param record the record that the entry is for
/// @param status the status of the primary
PrimaryEntry makeConfirmedEntry(const PrimaryRecord& record, const GroupId& group, const UpstreamId& primary, const ReplicationStatus& status);

/// @param entry the group's entry before the failover
/// @returns the generation that follows a failover; not used by any failover that the store has lost
std::uint64_t computeNextGeneration(const PrimaryRecord& record, const PrimaryEntry& entry);

} // namespace lentiljunction
