#include "lentiljunction/routing/ReadRouter.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration defaultCostInZone = std::chrono::milliseconds(3);
    constexpr Duration defaultCostInOtherZone = std::chrono::milliseconds(12);
    /// Added to every cost, so that a very fast upstream does not receive all reads.
    constexpr Duration baseCost = std::chrono::milliseconds(1);
    /// The penalty for reads at the primary, where they slow down writes.
    constexpr Duration primaryPenalty = std::chrono::milliseconds(60);
    /// How strongly reads prefer the upstream with the lowest cost.
    constexpr double costExponent = 3;
    constexpr Duration failureBackOff = std::chrono::milliseconds(500);
    /// The window of the moving average: each answer has the weight 1 / averagingSamples.
    constexpr int averagingSamples = 8;

} // namespace

std::string toString(PrimaryReadCause cause)
{
    switch (cause) {
    case PrimaryReadCause::Drawn:
        return "drawn";
    case PrimaryReadCause::ReplicaBehind:
        return "replica_behind";
    case PrimaryReadCause::AgeNotProved:
        return "age_not_proved";
    case PrimaryReadCause::ReplicaFailed:
        return "replica_failed";
    }
    return "drawn";
}

ReadRouter::ReadRouter(ZoneId ownZone, std::uint64_t seed)
    : ownZone(std::move(ownZone))
    , random(seed)
{
}

std::vector<UpstreamId> ReadRouter::getOrder(const DatabaseConfig& database, const std::optional<UpstreamId>& primary, TimePoint now)
{
    struct Candidate {
        bool isAvoided;
        double draw;
        UpstreamId id;
    };

    std::vector<Candidate> candidates;
    for (const UpstreamConfig& upstream : database.upstreams) {
        Duration cost = this->estimate(upstream) + baseCost;
        if (upstream.id == primary)
            cost += primaryPenalty;
        // The smallest of exponentially distributed samples belongs to each candidate with a probability
        // proportional to its weight.
        double weight = std::pow(1e6 / static_cast<double>(cost.count()), costExponent);
        double draw = -std::log(1.0 - this->random.unit()) / weight;
        candidates.push_back({ this->isAvoided(upstream.id, now), draw, upstream.id });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tie(left.isAvoided, left.draw) < std::tie(right.isAvoided, right.draw);
    });

    std::vector<UpstreamId> order;
    for (const Candidate& candidate : candidates)
        order.push_back(candidate.id);
    return order;
}

void ReadRouter::onAnswer(const UpstreamId& upstream, Duration total)
{
    ReadStatistics& statistics = this->statisticsByUpstream[upstream];
    statistics.avoidedUntil = TimePoint();
    if (!statistics.meanTotal)
        statistics.meanTotal = total;
    else
        statistics.meanTotal = (*statistics.meanTotal * (averagingSamples - 1) + total) / averagingSamples;
}

void ReadRouter::onFailed(const UpstreamId& upstream, TimePoint now)
{
    this->statisticsByUpstream[upstream].avoidedUntil = now + failureBackOff;
}

Duration ReadRouter::estimate(const UpstreamConfig& upstream) const
{
    std::map<UpstreamId, ReadStatistics>::const_iterator found = this->statisticsByUpstream.find(upstream.id);
    if (found != this->statisticsByUpstream.end() && found->second.meanTotal)
        return *found->second.meanTotal;
    return upstream.zone == this->ownZone ? defaultCostInZone : defaultCostInOtherZone;
}

bool ReadRouter::isAvoided(const UpstreamId& upstream, TimePoint now) const
{
    std::map<UpstreamId, ReadStatistics>::const_iterator found = this->statisticsByUpstream.find(upstream);
    return found != this->statisticsByUpstream.end() && now < found->second.avoidedUntil;
}

} // namespace lentiljunction
