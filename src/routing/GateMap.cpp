#include "lentiljunction/routing/GateMap.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lentiljunction {

namespace {

    struct HashedMember {
        std::uint64_t hash;
        const InstanceId* id;
    };

    using ZoneMembers = std::map<ZoneId, std::vector<HashedMember>>;

    ZoneMembers groupByZone(const MemberList& members)
    {
        ZoneMembers zones;
        for (const Member& member : members) {
            if (member.canServe())
                zones[member.zone].push_back({ stableHash(member.id.toString()), &member.id });
        }
        return zones;
    }

    /// Appends the members with the highest scores until there are numCandidates of them.
    void appendHighestScored(const std::vector<HashedMember>& members, std::uint64_t keyHash, std::vector<InstanceId>& best)
    {
        std::vector<std::pair<std::uint64_t, const InstanceId*>> scored;
        scored.reserve(members.size());
        for (const HashedMember& member : members)
            scored.emplace_back(combineHashes(keyHash, member.hash), member.id);

        std::size_t numWanted = std::min(GateMap::numCandidates - best.size(), scored.size());
        std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(numWanted), scored.end(), [](const std::pair<std::uint64_t, const InstanceId*>& left, const std::pair<std::uint64_t, const InstanceId*>& right) {
            if (left.first != right.first)
                return left.first > right.first;
            return *left.second < *right.second;
        });
        for (std::size_t index = 0; index < numWanted; index++)
            best.push_back(*scored[index].second);
    }

    std::vector<InstanceId> findCandidates(const ZoneMembers& zones, const UpstreamConfig& upstream)
    {
        std::vector<InstanceId> best;
        std::uint64_t keyHash = stableHash(upstream.id.toString());
        ZoneMembers::const_iterator own = zones.find(upstream.zone);
        if (own != zones.end())
            appendHighestScored(own->second, keyHash, best);
        if (best.size() == GateMap::numCandidates)
            return best;

        std::vector<HashedMember> others;
        for (const std::pair<const ZoneId, std::vector<HashedMember>>& zone : zones) {
            if (zone.first != upstream.zone)
                others.insert(others.end(), zone.second.begin(), zone.second.end());
        }
        appendHighestScored(others, keyHash, best);
        return best;
    }

} // namespace

GateMap::GateMap(const MemberList& members, const Bundle& bundle)
{
    ZoneMembers zones = groupByZone(members);
    for (const std::pair<const DatabaseId, DatabaseConfig>& database : bundle.databases) {
        for (const UpstreamConfig& upstream : database.second.upstreams)
            this->candidates[upstream.id] = findCandidates(zones, upstream);
    }
}

const std::vector<InstanceId>& GateMap::getCandidates(const UpstreamId& upstream) const
{
    static const std::vector<InstanceId> none;
    std::unordered_map<UpstreamId, std::vector<InstanceId>>::const_iterator found = this->candidates.find(upstream);
    return found == this->candidates.end() ? none : found->second;
}

bool GateMap::isGate(const InstanceId& instance, const UpstreamId& upstream) const
{
    const std::vector<InstanceId>& found = this->getCandidates(upstream);
    return !found.empty() && found.front() == instance;
}

bool GateMap::isCandidate(const InstanceId& instance, const UpstreamId& upstream) const
{
    const std::vector<InstanceId>& found = this->getCandidates(upstream);
    return std::find(found.begin(), found.end(), instance) != found.end();
}

} // namespace lentiljunction
