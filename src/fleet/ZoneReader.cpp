#include "lentiljunction/fleet/ZoneReader.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <set>

namespace lentiljunction {

std::optional<FleetMember> chooseZoneReader(const std::vector<FleetMember>& members, const ZoneId& zone)
{
    std::optional<FleetMember> reader;
    std::uint64_t best = 0;
    for (const FleetMember& member : members) {
        std::uint64_t score = rendezvousScore(zone.toString(), member.id.toString());
        if (member.zone != zone || (reader && score < best))
            continue;
        best = score;
        reader = member;
    }
    return reader;
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
