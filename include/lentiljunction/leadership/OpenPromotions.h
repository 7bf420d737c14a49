#pragma once

#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/leadership/OpenPromotionTracker.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

// Changes of PrimaryEntry::openPromotions in the course of a failover.

namespace lentiljunction {

/// Lists an upstream that is about to be called.
///
/// @param epoch the fencing token of the caller
void addOpenPromotion(PrimaryEntry& entry, const UpstreamId& upstream, FencingToken epoch);

/// @returns whether an upstream is listed as one that the holder of a fencing token calls in the present failover
bool hasOpenPromotion(const PrimaryEntry& entry, const UpstreamId& upstream, FencingToken epoch);

/// @returns the upstreams that were called in the failover that an entry announces, the last one at the end
std::vector<UpstreamId> listCalledUpstreams(const PrimaryEntry& entry);

/// Removes the calls for the primary that have ended: as long as it led, they changed nothing.
void removeEndedOfPrimary(const GroupId& group, PrimaryEntry& entry, const OpenPromotionTracker& tracker, BootTime now);

/// Removes calls of the present failover, before the generation of the entry increases.
///
/// @param refused the upstreams of which the platform refused each call
void removeRefusedPromotions(PrimaryEntry& entry, FencingToken epoch, const std::set<UpstreamId>& refused);

/// @returns the calls for other upstreams than the primary that have ended
std::vector<OpenPromotion> listEndedPromotions(const GroupId& group, const PrimaryEntry& entry, const OpenPromotionTracker& tracker, BootTime now);

/// Decides whether calls that had ended before have had no effect.
///
/// @param upstreams the listed upstreams; one that is not listed any more has left
/// @param statuses what each listed upstream of the group responded after that; nothing for one that did not respond
/// @returns whether the primary leads the recorded term, and each other upstream follows it
bool isUnaffected(const GroupId& group, const PrimaryEntry& entry, const UpstreamList& upstreams, const std::map<UpstreamId, std::optional<ReplicationStatus>>& statuses);

} // namespace lentiljunction
