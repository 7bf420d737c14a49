#include "lentiljunction/leadership/CommitSurvey.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

CommitSurvey::CommitSurvey(UpstreamId oldPrimary, bool isOldPrimaryLeaving, std::size_t numSynchronousReplicas, LogPoint baseline)
    : oldPrimary(std::move(oldPrimary))
    , isOldPrimaryLeaving(isOldPrimaryLeaving)
    , numSynchronousReplicas(numSynchronousReplicas)
    , baseline(baseline)
{
}

void CommitSurvey::onStatus(const UpstreamId& upstream, const ReplicationStatus& status, bool isPaused)
{
    Log& log = this->logs[upstream];
    // A status that was requested before the pause may arrive after it.
    if (!log.isPaused || log.status.received < status.received)
        log.status = status;
    log.isPaused = log.isPaused || isPaused;
}

void CommitSurvey::setMembers(std::vector<Member> newMembers)
{
    for (const Member& member : newMembers) {
        std::vector<Member>::const_iterator before = std::find_if(this->members.begin(), this->members.end(), [&member](const Member& known) { return known.upstream == member.upstream && known.isListed; });
        bool isRestarted = member.isListed && before != this->members.end() && before->startedAt && before->startedAt != member.startedAt;
        if (isRestarted)
            this->logs.erase(member.upstream);
    }
    this->members = std::move(newMembers);
}

void CommitSurvey::onDemoted(const ReplicationStatus& status)
{
    // A primary that was restarted without its log lacks what it took over.
    if (!(status.received < this->baseline))
        this->demoted = status;
}

void CommitSurvey::onRefused(const UpstreamId& upstream)
{
    if (upstream == this->oldPrimary)
        this->isOldPrimaryRefused = true;
    this->logs.erase(upstream);
}

bool CommitSurvey::mayConclude() const
{
    std::size_t numMissing = static_cast<std::size_t>(std::count_if(this->members.begin(), this->members.end(), [](const Member& member) { return !member.isListed && !member.successor; }));
    return numMissing < this->numSynchronousReplicas;
}

std::vector<UpstreamId> CommitSurvey::listUnpaused() const
{
    std::vector<UpstreamId> unpaused;
    for (const Member& member : this->members) {
        std::map<UpstreamId, Log>::const_iterator log = this->logs.find(member.upstream);
        if (member.isListed && (log == this->logs.end() || !log->second.isPaused))
            unpaused.push_back(member.upstream);
    }
    return unpaused;
}

bool CommitSurvey::isPaused(const UpstreamId& upstream) const
{
    std::map<UpstreamId, Log>::const_iterator log = this->logs.find(upstream);
    return log != this->logs.end() && log->second.isPaused;
}

bool CommitSurvey::hasSuccessorWith(const Member& member, const LogPoint& longest) const
{
    return member.successor && this->isPaused(*member.successor) && !(this->logs.at(*member.successor).status.received < longest);
}

std::optional<LogPoint> CommitSurvey::findLongestPaused() const
{
    std::optional<LogPoint> longest;
    std::vector<Member> unknown;
    for (const Member& member : this->members) {
        if (member.isEarlierStart || !this->isPaused(member.upstream))
            unknown.push_back(member);
        else
            longest = std::max(longest, std::optional<LogPoint>(this->logs.at(member.upstream).status.received));
    }
    if (!longest || *longest < this->baseline)
        return std::nullopt;
    std::size_t numUnknown = static_cast<std::size_t>(std::count_if(unknown.begin(), unknown.end(), [this, &longest](const Member& member) { return !this->hasSuccessorWith(member, *longest); }));
    return numUnknown < this->numSynchronousReplicas ? longest : std::nullopt;
}

std::optional<LogPoint> CommitSurvey::findRequired() const
{
    std::optional<LogPoint> longest = this->findLongestPaused();
    if (!this->demoted)
        return longest;
    return longest ? std::min(*longest, this->demoted->received) : this->demoted->received;
}

std::optional<UpstreamId> CommitSurvey::findLongestOf(bool isLeaving, const LogPoint& required) const
{
    std::optional<UpstreamId> longest;
    for (const Member& member : this->members) {
        std::map<UpstreamId, Log>::const_iterator log = this->logs.find(member.upstream);
        if (!member.isListed || member.isLeaving != isLeaving || log == this->logs.end() || log->second.status.received < required)
            continue;
        // Of equal logs, that of a primary is preferred, whose role then does not change.
        const ReplicationStatus* best = longest ? &this->logs.at(*longest).status : nullptr;
        const ReplicationStatus& status = log->second.status;
        if (best == nullptr || best->received < status.received || (best->received == status.received && status.isPrimary && !best->isPrimary))
            longest = member.upstream;
    }
    return longest;
}

bool CommitSurvey::isOldPrimaryEligible(const LogPoint& required) const
{
    return this->demoted && !this->isOldPrimaryRefused && !(this->demoted->received < required);
}

std::optional<UpstreamId> CommitSurvey::findPreferred() const
{
    std::optional<LogPoint> required = this->findRequired();
    return required ? this->findLongestOf(false, *required) : std::nullopt;
}

std::optional<UpstreamId> CommitSurvey::findAny() const
{
    std::optional<LogPoint> required = this->findRequired();
    if (!required)
        return std::nullopt;
    std::optional<UpstreamId> chosen = this->findLongestOf(false, *required);
    if (!chosen && !this->isOldPrimaryLeaving && this->isOldPrimaryEligible(*required))
        chosen = this->oldPrimary;
    if (!chosen)
        chosen = this->findLongestOf(true, *required);
    if (!chosen && this->isOldPrimaryEligible(*required))
        chosen = this->oldPrimary;
    return chosen;
}

std::optional<UpstreamId> CommitSurvey::findLongest() const
{
    if (this->demoted && !this->isOldPrimaryRefused)
        return this->findAny();
    std::optional<UpstreamId> staying = this->findLongestOf(false, LogPoint());
    return staying ? staying : this->findLongestOf(true, LogPoint());
}

bool CommitSurvey::hasKeptLog(const UpstreamId& upstream) const
{
    std::map<UpstreamId, Log>::const_iterator log = this->logs.find(upstream);
    bool isRestarted = std::any_of(this->members.begin(), this->members.end(), [&upstream](const Member& member) { return member.upstream == upstream && member.isEarlierStart; });
    return log != this->logs.end() && !isRestarted && !(log->second.status.received < this->baseline);
}

std::size_t CommitSurvey::countSilent() const
{
    return static_cast<std::size_t>(std::count_if(this->members.begin(), this->members.end(), [this](const Member& member) { return member.isEarlierStart || this->logs.count(member.upstream) == 0; }));
}

} // namespace lentiljunction
