#include "PrimaryRecordRecovery.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Time for the upstreams of a group to confirm its primary; allows for one lost response.
    constexpr std::chrono::milliseconds confirmationTimeout { 1000 };

} // namespace

PrimaryRecordRecovery::PrimaryRecordRecovery(const Dependencies& dependencies, bool isFirstStart)
    : dependencies(dependencies)
    , isFirstStart(isFirstStart)
{
}

bool PrimaryRecordRecovery::isRecordCurrent() const
{
    const VersionedPrimaryRecord& latest = this->dependencies.state.getLeaseTracker().getView().latest;
    return latest.record != nullptr && latest.record->era == this->dependencies.store.getEra();
}

void PrimaryRecordRecovery::onRecordRead(const std::optional<VersionedPrimaryRecord>& versioned)
{
    if (!versioned)
        this->dependencies.writer.onRecordMissing();
    if (versioned && versioned->isCurrent()) {
        this->outdatedSince.reset();
        return this->confirmGroups();
    }
    bool isKnown = this->dependencies.state.getLeaseTracker().getView().latest.record != nullptr;
    if (!versioned && !isKnown && this->isFirstStart)
        return this->create();
    BootTime now = this->dependencies.clock.bootNow();
    if (!this->outdatedSince) {
        this->outdatedSince = now;
        logEvent(events::primaryRecordOutdated, "store_era=" + std::to_string(this->dependencies.store.getEra().value()) + " written_in=" + (versioned ? std::to_string(versioned->record->era.value()) : "none"));
    }
    if (this->mayRecover(now))
        this->recover();
}

void PrimaryRecordRecovery::create()
{
    this->dependencies.writer.submitRecovery(
        [this](PrimaryRecord& record) {
            if (!record.coordinator.isEmpty())
                return false;
            record.coordinator = this->dependencies.self;
            record.epoch = FencingToken(1);
            record.era = this->dependencies.store.getEra();
            record.createdIn = record.era;
            return true;
        },
        [](bool, BootTime) {});
}

bool PrimaryRecordRecovery::mayRecover(BootTime now) const
{
    const VersionedPrimaryRecord& latest = this->dependencies.state.getLeaseTracker().getView().latest;
    bool isCoordinator = latest.record != nullptr && latest.record->coordinator == this->dependencies.self;
    Duration delay = isCoordinator ? Duration(recordRecoveryDelay) : recordTakeoverDelay + this->dependencies.coordination.getTakeoverDelay();
    return now - *this->outdatedSince >= delay;
}

void PrimaryRecordRecovery::recover()
{
    if (std::exchange(this->isRecoveryPending, true))
        return;
    this->dependencies.writer.submitRecovery(
        [this](PrimaryRecord& record) {
            StoreEra era = this->dependencies.store.getEra();
            const VersionedPrimaryRecord& stored = this->dependencies.writer.getBase();
            bool isRecovered = stored.isCurrent();
            if (isRecovered || stored.storeEra != era)
                return false;
            const VersionedPrimaryRecord& latest = this->dependencies.state.getLeaseTracker().getView().latest;
            record = makeRecoveredRecord(latest.record == nullptr ? record : *latest.record, this->dependencies.self, era);
            return true;
        },
        [this](bool isWritten, BootTime) {
            this->isRecoveryPending = false;
            logEvent(events::primaryRecordRecovered, "written=" + std::to_string(isWritten) + " store_era=" + std::to_string(this->dependencies.store.getEra().value()));
        });
}

void PrimaryRecordRecovery::confirmGroups()
{
    const PrimaryView& view = this->dependencies.state.getLeaseTracker().getView();
    bool isCoordinator = this->isRecordCurrent() && view.latest.record->coordinator == this->dependencies.self && view.hasValidLease(this->dependencies.clock.bootNow());
    if (!isCoordinator)
        return this->confirmations.clear();
    std::set<GroupId> groups;
    for (const std::pair<const GroupId, PrimaryEntry>& group : view.latest.record->groups)
        groups.insert(group.first);
    if (this->dependencies.state.getRoutes() != nullptr)
        for (const std::pair<const GroupId, GroupConfig>& group : this->dependencies.state.getRoutes()->groups)
            groups.insert(group.first);
    for (const GroupId& group : groups) {
        if (view.latest.record->isConfirmed(group) || view.isChanging(group) || this->dependencies.executor.isActive(group))
            this->confirmations.erase(group);
        else
            this->requestStatuses(group);
    }
}

void PrimaryRecordRecovery::requestStatuses(const GroupId& group)
{
    Confirmation& confirmation = this->confirmations.emplace(group, Confirmation { this->dependencies.clock.now(), {}, {}, false }).first->second;
    if (confirmation.isWriting || !confirmation.pending.empty())
        return;
    confirmation.statuses.clear();
    std::vector<UpstreamEntry> upstreams;
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : this->dependencies.state.getUpstreamList().entries) {
        if (upstream.second.group != group)
            continue;
        confirmation.pending.insert(upstream.first);
        upstreams.push_back(upstream.second);
    }
    for (const UpstreamEntry& upstream : upstreams)
        this->dependencies.commander.requestStatus(upstream, [this, group, id = upstream.id](const std::optional<ReplicationStatus>& status, bool) { this->onStatus(group, id, status); });
}

void PrimaryRecordRecovery::onStatus(const GroupId& group, const UpstreamId& upstream, const std::optional<ReplicationStatus>& status)
{
    std::map<GroupId, Confirmation>::iterator found = this->confirmations.find(group);
    if (found == this->confirmations.end() || found->second.pending.erase(upstream) == 0)
        return;
    Confirmation& confirmation = found->second;
    confirmation.statuses[upstream] = status;
    if (!confirmation.pending.empty())
        return;
    std::optional<UpstreamId> primary = findConfirmedPrimary(confirmation.statuses);
    if (primary)
        return this->writeConfirmed(group, *primary, *confirmation.statuses.at(*primary));
    if (this->dependencies.clock.now() - confirmation.startedAt >= confirmationTimeout)
        this->replaceUnconfirmed(group, confirmation.statuses);
}

void PrimaryRecordRecovery::writeConfirmed(const GroupId& group, const UpstreamId& primary, const ReplicationStatus& status)
{
    this->confirmations.at(group).isWriting = true;
    this->dependencies.writer.submit(
        [this, group, primary, status](PrimaryRecord& record) {
            if (record.coordinator != this->dependencies.self || record.isConfirmed(group))
                return false;
            record.groups[group] = makeConfirmedEntry(record, group, primary, status);
            return true;
        },
        [this, group, primary](bool isWritten, BootTime) {
            logEvent(events::primaryConfirmed, "group=" + group.toString() + " primary=" + primary.toString() + " written=" + std::to_string(isWritten));
            this->confirmations.erase(group);
        });
}

void PrimaryRecordRecovery::replaceUnconfirmed(const GroupId& group, const Statuses& statuses)
{
    const PrimaryEntry* known = this->dependencies.state.getLeaseTracker().getView().latest.record->find(group);
    std::optional<UpstreamId> primary = known == nullptr ? std::nullopt : std::optional<UpstreamId>(known->primary);
    Term greatestTerm;
    for (const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& status : statuses) {
        bool isLaterPrimary = status.second && status.second->isPrimary && greatestTerm < status.second->term;
        if (known != nullptr || !isLaterPrimary)
            continue;
        primary = status.first;
        greatestTerm = status.second->term;
    }
    this->confirmations.erase(group);
    if (!primary)
        return logEvent(events::primaryConfirmed, "group=" + group.toString() + " primary=none written=0");
    Statuses::const_iterator status = statuses.find(*primary);
    bool isWorking = status != statuses.end() && status->second && status->second->isPrimary;
    this->dependencies.executor.start(group, *primary, isWorking, "the restored record does not show the primary");
}

} // namespace lentiljunction
