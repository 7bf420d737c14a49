#include "lentiljunction/leadership/OpenPromotions.h"

#include "lentiljunction/leadership/PrimaryVerification.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

void addOpenPromotion(PrimaryEntry& entry, const UpstreamId& upstream, FencingToken epoch)
{
    if (!hasOpenPromotion(entry, upstream, epoch))
        entry.openPromotions.push_back({ upstream, epoch, entry.generation });
}

bool hasOpenPromotion(const PrimaryEntry& entry, const UpstreamId& upstream, FencingToken epoch)
{
    OpenPromotion promotion { upstream, epoch, entry.generation };
    return std::find(entry.openPromotions.begin(), entry.openPromotions.end(), promotion) != entry.openPromotions.end();
}

std::vector<UpstreamId> listCalledUpstreams(const PrimaryEntry& entry)
{
    std::vector<UpstreamId> upstreams;
    for (const OpenPromotion& promotion : entry.openPromotions) {
        if (promotion.generation == entry.generation)
            upstreams.push_back(promotion.upstream);
    }
    return upstreams;
}

void removeEndedOfPrimary(const GroupId& group, PrimaryEntry& entry, const OpenPromotionTracker& tracker, BootTime now)
{
    std::vector<OpenPromotion>& open = entry.openPromotions;
    open.erase(std::remove_if(open.begin(), open.end(), [&](const OpenPromotion& promotion) { return promotion.upstream == entry.primary && tracker.hasEnded(group, promotion, now); }), open.end());
}

void removeRefusedPromotions(PrimaryEntry& entry, FencingToken epoch, const std::set<UpstreamId>& refused)
{
    std::vector<OpenPromotion>& open = entry.openPromotions;
    open.erase(std::remove_if(open.begin(), open.end(), [&](const OpenPromotion& promotion) { return promotion.epoch == epoch && promotion.generation == entry.generation && refused.count(promotion.upstream) > 0; }), open.end());
}

std::vector<OpenPromotion> listEndedPromotions(const GroupId& group, const PrimaryEntry& entry, const OpenPromotionTracker& tracker, BootTime now)
{
    std::vector<OpenPromotion> ended;
    if (entry.phase != PrimaryPhase::Stable)
        return ended;
    for (const OpenPromotion& promotion : entry.openPromotions) {
        if (promotion.upstream != entry.primary && tracker.hasEnded(group, promotion, now))
            ended.push_back(promotion);
    }
    return ended;
}

bool isUnaffected(const GroupId& group, const PrimaryEntry& entry, const UpstreamList& upstreams, const std::map<UpstreamId, std::optional<ReplicationStatus>>& statuses)
{
    std::optional<VerificationScope> scope = findVerificationScope(group, entry.primary, upstreams, {}, false);
    std::map<UpstreamId, std::optional<ReplicationStatus>> others = statuses;
    others.erase(entry.primary);
    std::map<UpstreamId, std::optional<ReplicationStatus>>::const_iterator primary = statuses.find(entry.primary);
    bool leadsRecordedTerm = primary != statuses.end() && primary->second && primary->second->term == entry.term;
    // Under the coordinator's lease, no promotion but those of the calls is possible.
    scope->isLeased = true;
    return leadsRecordedTerm && isPrimaryVerified(*scope, primary->second, others);
}

} // namespace lentiljunction
