#include "lentiljunction/lending/LendingPlan.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <algorithm>
#include <map>

namespace lentiljunction {

namespace {

    /// One lender may be lost, frozen or slow while the other takes its place.
    constexpr std::size_t lendersPerZone = 2;

} // namespace

LendingPlan::LendingPlan(const std::vector<FleetMember>& members, const ZoneId& zone)
{
    std::map<ZoneId, std::size_t> numCandidates;
    for (const FleetMember& member : members) {
        if (!member.lending)
            continue;
        numCandidates[member.zone]++;
        if (member.zone == zone)
            this->candidates.push_back({ member, stableHash(member.id.toString()) });
    }
    for (const std::pair<const ZoneId, std::size_t>& entry : numCandidates)
        this->numLenders += std::min(entry.second, lendersPerZone);
}

std::vector<FleetMember> LendingPlan::chooseLenders(const UpstreamId& upstream) const
{
    std::uint64_t key = stableHash(upstream.toString());
    std::vector<std::pair<std::uint64_t, const FleetMember*>> scored;
    for (const Candidate& candidate : this->candidates)
        scored.emplace_back(combineHashes(key, candidate.hash), &candidate.member);
    std::size_t number = std::min(scored.size(), lendersPerZone);
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(number), scored.end(), [](const std::pair<std::uint64_t, const FleetMember*>& left, const std::pair<std::uint64_t, const FleetMember*>& right) {
        return left.first != right.first ? left.first > right.first : left.second->id < right.second->id;
    });
    std::vector<FleetMember> lenders;
    for (std::size_t index = 0; index < number; index++)
        lenders.push_back(*scored[index].second);
    return lenders;
}

std::size_t computeConnectionShare(std::size_t connectionLimit, std::size_t numUsers)
{
    std::size_t users = std::max<std::size_t>(1, numUsers);
    std::size_t share = connectionLimit / (2 * users);
    // Users whose share is below one keep one connection if they number at most three quarters of the connections.
    if (share == 0 && users * 4 <= connectionLimit * 3)
        return 1;
    return share;
}

std::size_t computeLenderShare(std::size_t connectionLimit, std::size_t numLenders)
{
    return std::max<std::size_t>(1, connectionLimit * 3 / 4 / std::max<std::size_t>(1, numLenders));
}

} // namespace lentiljunction
