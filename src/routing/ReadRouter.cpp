#include "lentiljunction/routing/ReadRouter.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration assumedInZone = std::chrono::milliseconds(3);
    constexpr Duration assumedOtherZone = std::chrono::milliseconds(12);
    /// Added to every cost, so that a very quick upstream does not draw everything.
    constexpr Duration smallestCost = std::chrono::milliseconds(1);
    /// What a read at the primary costs the writes there.
    constexpr Duration primaryHandicap = std::chrono::milliseconds(60);
    /// How strongly reads keep to the cheapest upstream.
    constexpr double costExponent = 3;
    constexpr Duration avoidance = std::chrono::milliseconds(500);
    /// Every so many answers weigh as much as all before.
    constexpr int memory = 8;

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
        Duration cost = this->estimate(upstream) + smallestCost;
        if (upstream.id == primary)
            cost += primaryHandicap;
        // The least of exponential draws falls on each candidate in proportion to its weight.
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
    Experience& experience = this->experiences[upstream];
    experience.avoidUntil = TimePoint();
    if (!experience.meanTotal)
        experience.meanTotal = total;
    else
        experience.meanTotal = (*experience.meanTotal * (memory - 1) + total) / memory;
}

void ReadRouter::onFailed(const UpstreamId& upstream, TimePoint now)
{
    this->experiences[upstream].avoidUntil = now + avoidance;
}

Duration ReadRouter::estimate(const UpstreamConfig& upstream) const
{
    std::map<UpstreamId, Experience>::const_iterator found = this->experiences.find(upstream.id);
    if (found != this->experiences.end() && found->second.meanTotal)
        return *found->second.meanTotal;
    return upstream.zone == this->ownZone ? assumedInZone : assumedOtherZone;
}

bool ReadRouter::isAvoided(const UpstreamId& upstream, TimePoint now) const
{
    std::map<UpstreamId, Experience>::const_iterator found = this->experiences.find(upstream);
    return found != this->experiences.end() && now < found->second.avoidUntil;
}

} // namespace lentiljunction
