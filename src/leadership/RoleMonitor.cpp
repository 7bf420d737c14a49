#include "lentiljunction/leadership/RoleMonitor.h"

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds askInterval { 1000 };
    /// Allows several requests. An upstream that still shows the term is reported again.
    constexpr std::chrono::milliseconds seenTermLifetime { 3500 };
    /// One status may be from before the upstream learnt of its promotion.
    constexpr std::chrono::milliseconds lostRoleDelay { 500 };
    constexpr std::chrono::milliseconds lostRoleLifetime { 3500 };

    /// @returns the entry of a group whose primary is known, or nullptr
    const PrimaryEntry* findSettled(const PrimaryRecord& record, const GroupId& group)
    {
        const PrimaryEntry* entry = record.find(group);
        bool isSettled = entry != nullptr && entry->phase == PrimaryPhase::Stable && record.isConfirmed(group);
        return isSettled ? entry : nullptr;
    }

} // namespace

void RoleMonitor::onTermSeen(const GroupId& group, Term term, TimePoint now)
{
    SeenTerm& seen = this->seenTerms.emplace(group, SeenTerm { term, now }).first->second;
    if (term < seen.term && now - seen.seenAt <= seenTermLifetime)
        return;
    seen = { term, now };
}

bool RoleMonitor::isNewer(const PrimaryRecord& record, const GroupId& group, Term term)
{
    const PrimaryEntry* entry = findSettled(record, group);
    return entry != nullptr && entry->isTermKnown() && entry->term < term;
}

bool RoleMonitor::isNewerTermSeen(const PrimaryRecord& record, const GroupId& group, TimePoint now) const
{
    std::map<GroupId, SeenTerm>::const_iterator seen = this->seenTerms.find(group);
    return seen != this->seenTerms.end() && now - seen->second.seenAt <= seenTermLifetime && isNewer(record, group, seen->second.term);
}

std::vector<UpstreamId> RoleMonitor::listUpstreamsToAsk(const PrimaryRecord& record, const UpstreamList& list, TimePoint now)
{
    std::vector<UpstreamId> asked;
    std::map<UpstreamId, TimePoint> stillListed;
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : list.entries) {
        std::map<UpstreamId, TimePoint>::const_iterator last = this->askedAt.find(upstream.first);
        if (last != this->askedAt.end())
            stillListed.insert(*last);
        const PrimaryEntry* entry = findSettled(record, upstream.second.group);
        if (entry == nullptr)
            continue;
        bool isRecorded = entry->primary == upstream.first;
        bool isSuspect = isRecorded ? !upstream.second.claimsPrimary : upstream.second.claimsPrimary || this->isNewerTermSeen(record, upstream.second.group, now);
        if (!isSuspect || (last != this->askedAt.end() && now - last->second < askInterval))
            continue;
        stillListed[upstream.first] = now;
        asked.push_back(upstream.first);
    }
    this->askedAt = std::move(stillListed);
    return asked;
}

RoleMonitor::Action RoleMonitor::onRecordedPrimary(const GroupId& group, std::uint64_t generation, bool isPrimary, TimePoint now)
{
    if (isPrimary) {
        this->lostRoles.erase(group);
        return Action::None;
    }
    LostRole& lost = this->lostRoles.emplace(group, LostRole { generation, now, now }).first->second;
    if (lost.generation != generation || now - lost.lastSeenAt > lostRoleLifetime)
        lost = { generation, now, now };
    lost.lastSeenAt = now;
    return now - lost.firstSeenAt >= lostRoleDelay ? Action::ReplaceDemotedPrimary : Action::None;
}

RoleMonitor::Action RoleMonitor::onStatus(const PrimaryRecord& record, const GroupId& group, std::uint64_t generation, const UpstreamId& upstream, const ReplicationStatus& status, TimePoint now)
{
    const PrimaryEntry* entry = findSettled(record, group);
    // After another failover, the status may be older than what the record says.
    if (entry == nullptr || entry->generation != generation)
        return Action::None;
    if (entry->primary == upstream)
        return this->onRecordedPrimary(group, generation, status.isPrimary, now);
    if (!status.isPrimary)
        return Action::None;
    // The terms of two upstreams that claim the role from the start cannot be compared.
    if (!entry->isTermKnown())
        return Action::ReportConflict;
    if (entry->term < status.term)
        return Action::ReplaceRecordedPrimary;
    return status.term < entry->term ? Action::Demote : Action::ReportConflict;
}

} // namespace lentiljunction
