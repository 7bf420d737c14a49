#include "lentiljunction/membership/MemberTable.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <utility>

namespace lentiljunction {

namespace {

    std::uint64_t hashMember(const Member& member)
    {
        if (member.state == MemberState::Dead)
            return 0;
        return stableHash(member.id.toString() + "/" + std::to_string(member.incarnation.value()) + "/" + toString(member.state));
    }

} // namespace

void MemberTable::store(const Member& member)
{
    this->remove(member.id);
    this->members[member.id] = member;
    this->zones[member.zone].insert(member.id);
    this->digests[member.zone] ^= hashMember(member);
}

void MemberTable::remove(const InstanceId& id)
{
    this->snapshot = nullptr;
    std::map<InstanceId, Member>::iterator known = this->members.find(id);
    if (known == this->members.end())
        return;

    this->digests[known->second.zone] ^= hashMember(known->second);
    this->zones[known->second.zone].erase(id);
    this->members.erase(known);
}

const Member* MemberTable::find(const InstanceId& id) const
{
    std::map<InstanceId, Member>::const_iterator found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

const std::set<InstanceId>& MemberTable::getZone(const ZoneId& zone) const
{
    static const std::set<InstanceId> none;
    std::map<ZoneId, std::set<InstanceId>>::const_iterator found = this->zones.find(zone);
    return found == this->zones.end() ? none : found->second;
}

std::vector<ZoneId> MemberTable::getZones() const
{
    std::vector<ZoneId> names;
    for (const std::pair<const ZoneId, std::set<InstanceId>>& zone : this->zones)
        names.push_back(zone.first);
    return names;
}

std::uint64_t MemberTable::getDigest(const ZoneId& zone) const
{
    std::map<ZoneId, std::uint64_t>::const_iterator found = this->digests.find(zone);
    return found == this->digests.end() ? 0 : found->second;
}

std::uint64_t MemberTable::getFleetDigest() const
{
    std::uint64_t fleet = 0;
    for (const std::pair<const ZoneId, std::uint64_t>& entry : this->digests)
        fleet ^= entry.second;
    return fleet;
}

std::shared_ptr<const MemberList> MemberTable::getAll() const
{
    if (this->snapshot != nullptr)
        return this->snapshot;

    std::shared_ptr<MemberList> list = std::make_shared<MemberList>();
    for (const std::pair<const InstanceId, Member>& entry : this->members)
        list->push_back(entry.second);
    this->snapshot = list;
    return this->snapshot;
}

} // namespace lentiljunction
