#include "lentiljunction/leadership/RecordRecovery.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Epochs and generations of different eras are apart by this, so that none is issued again after a restore.
    constexpr std::uint64_t numbersPerEra = 1'000'000'000;

    std::uint64_t getFirstNumber(StoreEra era)
    {
        return era.value() * numbersPerEra;
    }

} // namespace

PrimaryRecord makeRecoveredRecord(const PrimaryRecord& known, const InstanceId& coordinator, StoreEra era)
{
    PrimaryRecord record = known;
    record.coordinator = coordinator;
    record.epoch = FencingToken(std::max(known.epoch.next().value(), getFirstNumber(era)));
    record.era = era;
    record.createdIn = StoreEra();
    for (std::pair<const GroupId, PrimaryEntry>& group : record.groups)
        group.second.era = StoreEra();
    // No instance has a lease in this era yet, and each one registers in it before it gets one.
    record.retired.clear();
    return record;
}

PrimaryRecord makeContinuedRecord(const PrimaryRecord& known, StoreEra era)
{
    PrimaryRecord record = makeRecoveredRecord(known, known.coordinator, era);
    if (known.createdIn == known.era)
        record.createdIn = era;
    for (std::pair<const GroupId, PrimaryEntry>& group : record.groups) {
        if (known.groups.at(group.first).era == known.era)
            group.second.era = era;
    }
    return record;
}

std::optional<UpstreamId> findConfirmedPrimary(const std::map<UpstreamId, std::optional<ReplicationStatus>>& statuses)
{
    std::optional<UpstreamId> primary;
    Term primaryTerm;
    Term greatestTerm;
    for (const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& status : statuses) {
        if (!status.second)
            return std::nullopt;
        greatestTerm = std::max(greatestTerm, status.second->term);
        if (!status.second->isPrimary)
            continue;
        // A former primary may still run, so the failover that replaced it must be completed.
        if (primary)
            return std::nullopt;
        primary = status.first;
        primaryTerm = status.second->term;
    }
    return primary && primaryTerm == greatestTerm ? primary : std::nullopt;
}

std::optional<UpstreamId> chooseUpstreamToReplace(const PrimaryEntry* known, const std::map<UpstreamId, std::optional<ReplicationStatus>>& statuses)
{
    if (known != nullptr)
        return known->primary;
    std::optional<UpstreamId> primary;
    std::optional<UpstreamId> silent;
    std::optional<UpstreamId> leastAdvanced;
    for (const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& status : statuses) {
        if (!status.second) {
            silent = status.first;
            continue;
        }
        if (status.second->isPrimary && (!primary || statuses.at(*primary)->term < status.second->term))
            primary = status.first;
        if (!leastAdvanced || status.second->received < statuses.at(*leastAdvanced)->received)
            leastAdvanced = status.first;
    }
    if (primary || !leastAdvanced)
        return primary;
    return silent ? silent : leastAdvanced;
}

bool mayConfirm(const PrimaryRecord& record, const GroupId& group, const InstanceId& coordinator)
{
    const PrimaryEntry* entry = record.find(group);
    bool isChanging = entry != nullptr && entry->phase == PrimaryPhase::Changing;
    return record.coordinator == coordinator && !record.isConfirmed(group) && !isChanging;
}

PrimaryEntry makeConfirmedEntry(const PrimaryRecord& record, const GroupId& group, const UpstreamId& primary, const ReplicationStatus& status)
{
    const PrimaryEntry* known = record.find(group);
    PrimaryEntry entry = known == nullptr ? PrimaryEntry() : *known;
    bool isSameTenure = known != nullptr && known->primary == primary && known->term == status.term;
    if (!isSameTenure) {
        entry.generation = computeNextGeneration(record, entry);
        // The head at the promotion is unknown; the present one includes it.
        entry.baseline = status.received;
    }
    entry.phase = PrimaryPhase::Stable;
    entry.primary = primary;
    entry.term = status.term;
    entry.era = record.era;
    return entry;
}

std::uint64_t computeNextGeneration(const PrimaryRecord& record, const PrimaryEntry& entry)
{
    bool mayHaveLostFailovers = record.createdIn != record.era;
    return std::max(entry.generation + 1, mayHaveLostFailovers ? getFirstNumber(record.era) : 0);
}

} // namespace lentiljunction
