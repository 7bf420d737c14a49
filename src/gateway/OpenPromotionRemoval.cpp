#include "OpenPromotionRemoval.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// An upstream may be silent for long; until it responds or is no longer listed, the group is looked at again and again.
    constexpr std::chrono::milliseconds surveyInterval { 1000 };

    /// @returns the upstreams that responded
    UpstreamList listResponding(const UpstreamList& list, const std::map<UpstreamId, std::optional<ReplicationStatus>>& statuses)
    {
        UpstreamList responding = list;
        for (const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& status : statuses) {
            if (!status.second)
                responding.entries.erase(status.first);
        }
        return responding;
    }

} // namespace

OpenPromotionRemoval::OpenPromotionRemoval(const Clock& clock, UpstreamCommander& commander, PrimaryRecordWriter& writer, const CommitProtection::KnownState& state, InstanceId self)
    : clock(clock)
    , commander(commander)
    , writer(writer)
    , state(state)
    , self(std::move(self))
{
}

void OpenPromotionRemoval::check()
{
    const PrimaryRecord* record = this->state.getLeaseTracker().getView().latest.record.get();
    if (record == nullptr || record->coordinator != this->self)
        return;
    for (const std::pair<const GroupId, PrimaryEntry>& group : record->groups) {
        std::vector<OpenPromotion> ended = listEndedPromotions(group.first, group.second, this->state.getLeaseTracker().getOpenPromotions(), this->clock.bootNow());
        if (!ended.empty() && record->isConfirmed(group.first))
            this->start(group.first, group.second, std::move(ended));
    }
    this->removeOfPrimaries(*record);
}

void OpenPromotionRemoval::removeOfPrimaries(const PrimaryRecord& record)
{
    const OpenPromotionTracker& tracker = this->state.getLeaseTracker().getOpenPromotions();
    bool isAnyEnded = false;
    for (const std::pair<const GroupId, PrimaryEntry>& group : record.groups) {
        PrimaryEntry remaining = group.second;
        removeEndedOfPrimary(group.first, remaining, tracker, this->clock.bootNow());
        isAnyEnded = isAnyEnded || remaining.openPromotions.size() < group.second.openPromotions.size();
    }
    if (!isAnyEnded || std::exchange(this->isRemovingOfPrimaries, true))
        return;
    this->writer.submit(
        [this](PrimaryRecord& latest) {
            if (latest.coordinator != this->self)
                return false;
            for (std::pair<const GroupId, PrimaryEntry>& group : latest.groups)
                removeEndedOfPrimary(group.first, group.second, this->state.getLeaseTracker().getOpenPromotions(), this->clock.bootNow());
            return true;
        },
        [this](bool, BootTime) { this->isRemovingOfPrimaries = false; });
}

void OpenPromotionRemoval::start(const GroupId& group, const PrimaryEntry& entry, std::vector<OpenPromotion> ended)
{
    std::map<GroupId, Survey>::const_iterator previous = this->surveys.find(group);
    if (previous != this->surveys.end() && this->clock.now() - previous->second.startedAt < surveyInterval)
        return;
    std::vector<UpstreamEntry> queried;
    Survey survey;
    survey.number = this->nextNumber++;
    survey.generation = entry.generation;
    survey.startedAt = this->clock.now();
    survey.ended = std::move(ended);
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : this->state.getUpstreamList().entries) {
        if (upstream.second.group != group)
            continue;
        survey.pending.insert(upstream.first);
        queried.push_back(upstream.second);
    }
    std::uint64_t number = survey.number;
    this->surveys[group] = std::move(survey);
    for (const UpstreamEntry& upstream : queried)
        this->commander.requestStatus(upstream, [this, group, number, id = upstream.id](const std::optional<ReplicationStatus>& status, bool) { this->onStatus(group, number, id, status); });
}

void OpenPromotionRemoval::onStatus(const GroupId& group, std::uint64_t number, const UpstreamId& upstream, const std::optional<ReplicationStatus>& status)
{
    std::map<GroupId, Survey>::iterator found = this->surveys.find(group);
    if (found == this->surveys.end() || found->second.number != number || found->second.pending.erase(upstream) == 0)
        return;
    found->second.statuses[upstream] = status;
    const PrimaryRecord& record = *this->state.getLeaseTracker().getView().latest.record;
    const PrimaryEntry* entry = record.find(group);
    bool isSame = entry != nullptr && entry->phase == PrimaryPhase::Stable && entry->generation == found->second.generation;
    if (!found->second.pending.empty() || !isSame)
        return;
    if (isUnaffected(group, *entry, this->state.getUpstreamList(), found->second.statuses))
        return this->remove(group, found->second);
    const OpenPromotionTracker& tracker = this->state.getLeaseTracker().getOpenPromotions();
    BootTime now = this->clock.bootNow();
    bool isSilenceAccepted = std::all_of(found->second.ended.begin(), found->second.ended.end(), [&](const OpenPromotion& promotion) { return tracker.isSilenceAccepted(group, promotion, now); });
    if (!isSilenceAccepted || !isUnaffected(group, *entry, listResponding(this->state.getUpstreamList(), found->second.statuses), found->second.statuses))
        return;
    logEvent(events::promotionUnproved, "group=" + group.toString() + " primary=" + entry->primary.toString() + " calls=" + std::to_string(found->second.ended.size()));
    this->remove(group, found->second);
}

void OpenPromotionRemoval::remove(const GroupId& group, const Survey& survey)
{
    this->writer.submit(
        [this, group, generation = survey.generation, ended = survey.ended](PrimaryRecord& record) {
            std::map<GroupId, PrimaryEntry>::iterator entry = record.groups.find(group);
            bool isSame = entry != record.groups.end() && entry->second.phase == PrimaryPhase::Stable && entry->second.generation == generation;
            if (record.coordinator != this->self || !isSame)
                return false;
            std::vector<OpenPromotion>& open = entry->second.openPromotions;
            open.erase(std::remove_if(open.begin(), open.end(), [&ended](const OpenPromotion& promotion) { return std::find(ended.begin(), ended.end(), promotion) != ended.end(); }), open.end());
            return true;
        },
        [](bool, BootTime) {});
}

} // namespace lentiljunction
