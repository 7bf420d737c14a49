#include "lentiljunction/fleet/ZoneReader.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <map>
#include <set>
#include <tuple>

namespace lentiljunction {

std::vector<FleetMember> rankZoneReaders(const std::vector<FleetMember>& members, const ZoneId& zone)
{
    using Rank = std::tuple<std::uint64_t, std::uint64_t, InstanceId>;
    std::map<Rank, FleetMember> ranked;
    for (const FleetMember& member : members) {
        if (member.zone == zone)
            ranked[{ member.linkRate.value(), rendezvousScore(zone.toString(), member.id.toString()), member.id }] = member;
    }
    std::vector<FleetMember> readers;
    for (std::map<Rank, FleetMember>::const_reverse_iterator entry = ranked.rbegin(); entry != ranked.rend(); ++entry)
        readers.push_back(entry->second);
    return readers;
}

std::optional<FleetMember> chooseZoneReader(const std::vector<FleetMember>& members, const ZoneId& zone)
{
    std::vector<FleetMember> readers = rankZoneReaders(members, zone);
    return readers.empty() ? std::nullopt : std::optional<FleetMember>(readers.front());
}

std::vector<FleetMember> chooseZoneReaders(const std::vector<FleetMember>& members)
{
    std::set<ZoneId> zones;
    for (const FleetMember& member : members)
        zones.insert(member.zone);
    std::vector<FleetMember> readers;
    for (const ZoneId& zone : zones)
        readers.push_back(*chooseZoneReader(members, zone));
    return readers;
}

} // namespace lentiljunction
