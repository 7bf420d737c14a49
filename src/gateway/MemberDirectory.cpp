#include "MemberDirectory.h"

#include "lentiljunction/leadership/LeaseTracker.h"

#include <iterator>

namespace lentiljunction {

void MemberDirectory::setMembers(const std::vector<FleetMember>& list)
{
    this->members.clear();
    for (const FleetMember& member : list)
        this->members[member.id] = member;
}

void MemberDirectory::updateRetired(const std::set<InstanceId>& retired, BootTime now)
{
    for (std::map<InstanceId, BootTime>::iterator known = this->retiredSince.begin(); known != this->retiredSince.end();)
        known = retired.count(known->first) > 0 ? std::next(known) : this->retiredSince.erase(known);
    for (const InstanceId& instance : retired)
        this->retiredSince.emplace(instance, now);
}

bool MemberDirectory::isRetiredPastLease(const InstanceId& instance, BootTime now) const
{
    std::map<InstanceId, BootTime>::const_iterator since = this->retiredSince.find(instance);
    return since != this->retiredSince.end() && now - since->second >= leaseDuration + leaseMargin;
}

std::vector<FleetMember> MemberDirectory::listActive() const
{
    std::vector<FleetMember> active;
    for (const std::pair<const InstanceId, FleetMember>& member : this->members) {
        if (this->retiredSince.count(member.first) == 0)
            active.push_back(member.second);
    }
    return active;
}

std::vector<Endpoint> MemberDirectory::listOthers(const InstanceId& self) const
{
    std::vector<Endpoint> others;
    for (const std::pair<const InstanceId, FleetMember>& member : this->members) {
        if (member.first != self)
            others.push_back(member.second.peers);
    }
    return others;
}

std::optional<FleetMember> MemberDirectory::find(const InstanceId& instance) const
{
    std::map<InstanceId, FleetMember>::const_iterator found = this->members.find(instance);
    return found == this->members.end() ? std::nullopt : std::optional<FleetMember>(found->second);
}

} // namespace lentiljunction
