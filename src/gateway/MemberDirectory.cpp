#include "MemberDirectory.h"

#include "lentiljunction/leadership/LeaseTracker.h"
#include "lentiljunction/leadership/RollCall.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lentiljunction {

namespace {

    /// Longer than an instance that is restarted as planned is away.
    constexpr std::chrono::seconds shareRetention { 30 };

} // namespace

void MemberDirectory::setMembers(const std::vector<FleetMember>& list, BootTime now)
{
    for (const std::pair<const InstanceId, FleetMember>& member : std::exchange(this->members, {}))
        this->left.emplace(member.first, LeftMember { member.second, now });
    for (const FleetMember& member : list) {
        this->members[member.id] = member;
        this->left.erase(member.id);
    }
    for (std::map<InstanceId, LeftMember>::iterator known = this->left.begin(); known != this->left.end();)
        known = now - known->second.leftAt >= shareRetention ? this->left.erase(known) : std::next(known);
}

std::size_t MemberDirectory::getSize(BootTime now) const
{
    std::size_t numLeft = static_cast<std::size_t>(std::count_if(this->left.begin(), this->left.end(), [now](const std::pair<const InstanceId, LeftMember>& known) { return now - known.second.leftAt < shareRetention; }));
    return this->members.size() + numLeft;
}

std::vector<FleetMember> MemberDirectory::listForTraffic(BootTime now) const
{
    std::vector<FleetMember> members = this->listActive(now);
    for (const std::pair<const InstanceId, LeftMember>& known : this->left) {
        if (now - known.second.leftAt < shareRetention && this->retiredSince.count(known.first) == 0)
            members.push_back(known.second.member);
    }
    return members;
}

void MemberDirectory::updateRetired(const std::set<InstanceId>& retired, BootTime now)
{
    for (std::map<InstanceId, BootTime>::iterator known = this->retiredSince.begin(); known != this->retiredSince.end();)
        known = retired.count(known->first) > 0 ? std::next(known) : this->retiredSince.erase(known);
    for (const InstanceId& instance : retired)
        this->retiredSince.emplace(instance, now);
}

void MemberDirectory::updateAbsent(const std::set<InstanceId>& absent, bool isStoreAvailable, BootTime now)
{
    if (!isStoreAvailable)
        this->absentSince.clear();
    for (std::map<InstanceId, BootTime>::iterator known = this->absentSince.begin(); known != this->absentSince.end();)
        known = absent.count(known->first) > 0 ? std::next(known) : this->absentSince.erase(known);
    for (const InstanceId& instance : absent)
        this->absentSince.emplace(instance, now);
}

bool MemberDirectory::isRetiredPastLease(const InstanceId& instance, BootTime now) const
{
    std::map<InstanceId, BootTime>::const_iterator since = this->retiredSince.find(instance);
    return since != this->retiredSince.end() && now - since->second >= leaseDuration + leaseMargin;
}

std::vector<FleetMember> MemberDirectory::listActive(BootTime now) const
{
    std::vector<FleetMember> active;
    for (const std::pair<const InstanceId, FleetMember>& member : this->members) {
        std::map<InstanceId, BootTime>::const_iterator absent = this->absentSince.find(member.first);
        bool isAbsent = absent != this->absentSince.end() && now - absent->second >= rollCallTime;
        if (this->retiredSince.count(member.first) == 0 && !isAbsent)
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
