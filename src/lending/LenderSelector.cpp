#include "LenderSelector.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// The back-off after a silence starts with the first value and doubles up to the longest.
    constexpr std::chrono::milliseconds firstBackoff { 500 };
    constexpr std::chrono::milliseconds longestBackoff { 4000 };
    /// A stopping instance is gone or restarted after this time.
    constexpr std::chrono::milliseconds stoppingTimeout { 6000 };
    /// Another lender is asked instead when it responds in less than the preferred one's time divided by this,
    /// and the difference exceeds the minimum.
    constexpr int slowResponseMultiple = 2;
    constexpr std::chrono::milliseconds minimumDifference { 5 };
    /// How long a lender is left because it responded slowly.
    constexpr std::chrono::seconds responseTimeLifetime { 2 };
    /// Over about how many responses their times are averaged.
    constexpr int responseTimeSamples = 6;

} // namespace

LenderSelector::LenderSelector(const InstanceId& self)
    : self(self)
    , preference(stableHash(self.toString()))
{
}

std::optional<FleetMember> LenderSelector::choose(const std::vector<FleetMember>& lenders, const std::set<InstanceId>& tried, TimePoint now) const
{
    const FleetMember* best = nullptr;
    for (std::size_t offset = 0; offset < lenders.size(); offset++) {
        const FleetMember& lender = lenders[(this->preference + offset) % lenders.size()];
        if (lender.id == this->self)
            return std::nullopt;
        if (tried.count(lender.id) > 0 || this->isAvoided(lender.id, now))
            continue;
        bool isMuchFaster = best != nullptr && this->getResponseTime(lender.id, now) * slowResponseMultiple + minimumDifference < this->getResponseTime(best->id, now);
        if (best == nullptr || isMuchFaster)
            best = &lender;
    }
    return best == nullptr ? std::nullopt : std::optional<FleetMember>(*best);
}

std::optional<FleetMember> LenderSelector::chooseForWorkspace(std::vector<FleetMember> lenders, const UpstreamId& upstream, const WorkspaceId& workspace, const std::set<InstanceId>& tried, TimePoint now) const
{
    std::uint64_t key = combineHashes(stableHash(upstream.toString()), stableHash(workspace.toString()));
    std::sort(lenders.begin(), lenders.end(), [key](const FleetMember& left, const FleetMember& right) {
        std::uint64_t leftScore = combineHashes(key, stableHash(left.id.toString()));
        std::uint64_t rightScore = combineHashes(key, stableHash(right.id.toString()));
        return leftScore != rightScore ? leftScore > rightScore : left.id < right.id;
    });
    const FleetMember* best = nullptr;
    for (const FleetMember& lender : lenders) {
        bool isOwn = lender.id == this->self;
        if (!isOwn && (tried.count(lender.id) > 0 || this->isAvoided(lender.id, now)))
            continue;
        Duration responseTime = isOwn ? Duration(0) : this->getResponseTime(lender.id, now);
        bool isMuchFaster = best != nullptr && responseTime * slowResponseMultiple + minimumDifference < this->getRecentResponseTime(best->id, now);
        if (best == nullptr || isMuchFaster)
            best = &lender;
    }
    return best == nullptr || best->id == this->self ? std::nullopt : std::optional<FleetMember>(*best);
}

void LenderSelector::onResponse(const InstanceId& lender, Duration took, TimePoint now)
{
    Lender& entry = this->known[lender];
    entry.responseTime.onSample(took, now);
    bool isFirst = entry.respondedAt == TimePoint() || now - entry.respondedAt > responseTimeLifetime;
    entry.recentResponseTime = isFirst ? took : (entry.recentResponseTime * (responseTimeSamples - 1) + took) / responseTimeSamples;
    entry.respondedAt = now;
    entry.backoff = Duration(0);
}

void LenderSelector::onSilence(const InstanceId& lender, TimePoint now)
{
    Lender& entry = this->known[lender];
    // Requests that were sent together fail together and count once.
    if (now < entry.avoidedUntil)
        return;
    entry.backoff = std::clamp<Duration>(entry.backoff * 2, firstBackoff, longestBackoff);
    entry.avoidedUntil = now + entry.backoff;
}

void LenderSelector::onStopping(const InstanceId& lender, TimePoint now)
{
    this->known[lender].avoidedUntil = now + stoppingTimeout;
}

bool LenderSelector::isAvoided(const InstanceId& lender, TimePoint now) const
{
    std::map<InstanceId, Lender>::const_iterator found = this->known.find(lender);
    return found != this->known.end() && now < found->second.avoidedUntil;
}

Duration LenderSelector::getResponseTime(const InstanceId& lender, TimePoint now) const
{
    std::map<InstanceId, Lender>::const_iterator found = this->known.find(lender);
    return found == this->known.end() ? LatencyEstimate().get(now) : found->second.responseTime.get(now);
}

Duration LenderSelector::getRecentResponseTime(const InstanceId& lender, TimePoint now) const
{
    std::map<InstanceId, Lender>::const_iterator found = this->known.find(lender);
    bool isRecent = found != this->known.end() && now - found->second.respondedAt <= responseTimeLifetime;
    return isRecent ? found->second.recentResponseTime : Duration(0);
}

} // namespace lentiljunction
