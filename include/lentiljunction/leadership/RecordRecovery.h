#pragma once

#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/leadership/CoordinatorHandover.h"
#include "lentiljunction/leadership/LeaseTracker.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// Time from the first read of a record that the store lost to its recovery: the leases of the previous era expire, and
/// promotions that were requested within them take effect, unless they are late.
constexpr std::chrono::milliseconds recordRecoveryDelay { 3100 };
/// Time from the same read to the first promotion by another instance than the last known coordinator, which may have
/// acted until its lease expired.
constexpr std::chrono::milliseconds promotionDelayAfterRecovery = leaseDuration + coordinatorHandoverDelay;

/// Makes the record that replaces a lost one in a new era of the store.
///
/// Its epoch exceeds that of any coordinator of an earlier era, also of one whose record was lost. No group is
/// confirmed, so that no lease covers its primary yet; failovers in progress stay in progress.
///
/// @param known the newest record that the recovering instance knows
/// @param coordinator the recovering instance
PrimaryRecord makeRecoveredRecord(const PrimaryRecord& known, const InstanceId& coordinator, StoreEra era);

/// Makes the record that replaces a lost one when no failover can be missing from the known one, so that what was
/// confirmed stays confirmed.
///
/// @param known the record of the instance that still is the coordinator
PrimaryRecord makeContinuedRecord(const PrimaryRecord& known, StoreEra era);

/// Finds the primary of a group whose failovers may have been lost.
///
/// @param statuses of all upstreams of the group; nothing for one that did not respond
/// @returns the primary, or nothing when an upstream that did not respond, or one in a higher term, might be it
std::optional<UpstreamId> findConfirmedPrimary(const std::map<UpstreamId, std::optional<ReplicationStatus>>& statuses);

/// Chooses the upstream that a failover replaces when the upstreams of a group do not confirm a primary.
///
/// A failover whose record was lost may have left the group without any primary. An upstream that would not be promoted
/// anyway is then replaced.
///
/// @param known the entry of the group; nullptr when there is none
/// @param statuses of all upstreams of the group; nothing for one that did not respond
/// @returns nothing when no upstream responded
std::optional<UpstreamId> chooseUpstreamToReplace(const PrimaryEntry* known, const std::map<UpstreamId, std::optional<ReplicationStatus>>& statuses);

/// @returns whether the coordinator may write the confirmed primary of a group: not once a failover of it has begun
bool mayConfirm(const PrimaryRecord& record, const GroupId& group, const InstanceId& coordinator);

/// Makes the entry of a primary that the upstreams have confirmed.
///
/// @param record the record that the entry is for
/// @param status the status of the primary
PrimaryEntry makeConfirmedEntry(const PrimaryRecord& record, const GroupId& group, const UpstreamId& primary, const ReplicationStatus& status);

/// @param entry the group's entry before the failover
/// @returns the generation that follows a failover; not used by any failover that the store has lost
std::uint64_t computeNextGeneration(const PrimaryRecord& record, const PrimaryEntry& entry);

} // namespace lentiljunction
