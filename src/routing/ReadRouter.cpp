#include "lentiljunction/routing/ReadRouter.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lentiljunction {

namespace {

constexpr Duration assumedInZone = std::chrono::milliseconds(3);
constexpr Duration assumedOtherZone = std::chrono::milliseconds(12);
constexpr Duration avoidance = std::chrono::milliseconds(500);
/// Every so many answers weigh as much as all before.
constexpr int memory = 8;

} // namespace

std::string toString(PrimaryReadCause cause)
{
    switch (cause) {
    case PrimaryReadCause::NoReplica:
        return "no_replica";
    case PrimaryReadCause::ReplicaBehind:
        return "replica_behind";
    case PrimaryReadCause::AgeNotProved:
        return "age_not_proved";
    case PrimaryReadCause::ReplicaFailed:
        return "replica_failed";
    }
    return "no_replica";
}

ReadRouter::ReadRouter(ZoneId ownZone)
    : ownZone(std::move(ownZone))
{
}

std::vector<UpstreamId> ReadRouter::getOrder(const DatabaseConfig& database, const std::optional<UpstreamId>& primary, TimePoint now) const
{
    struct Candidate {
        bool isPrimary;
        bool isAvoided;
        Duration cost;
        UpstreamId id;
    };

    std::vector<Candidate> candidates;
    for (const UpstreamConfig& upstream : database.upstreams)
        candidates.push_back({ upstream.id == primary, this->isAvoided(upstream.id, now), this->estimate(upstream), upstream.id });
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tie(left.isAvoided, left.isPrimary, left.cost, left.id) < std::tie(right.isAvoided, right.isPrimary, right.cost, right.id);
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
