#include "lentiljunction/fleet/Voters.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Enough that a minority reaches a majority of its sample in one of some million cases at most, as long as the
    /// minority is no larger than a fifth of the fleet.
    constexpr std::size_t maximumVoters = 80;

} // namespace

std::vector<FleetMember> chooseVoters(const std::vector<FleetMember>& active, const InstanceId& self)
{
    std::uint64_t key = stableHash(self.toString());
    std::vector<std::pair<std::uint64_t, const FleetMember*>> scored;
    for (const FleetMember& member : active) {
        if (member.id != self)
            scored.emplace_back(combineHashes(key, stableHash(member.id.toString())), &member);
    }
    std::size_t number = std::min(scored.size(), maximumVoters);
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(number), scored.end(), [](const std::pair<std::uint64_t, const FleetMember*>& left, const std::pair<std::uint64_t, const FleetMember*>& right) {
        return left.first > right.first;
    });
    std::vector<FleetMember> voters;
    for (std::size_t index = 0; index < number; index++)
        voters.push_back(*scored[index].second);
    return voters;
}

} // namespace lentiljunction
