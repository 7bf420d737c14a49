#include "PrimaryRecordRecovery.h"

#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/JsonFields.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/fleet/Voters.h"
#include "lentiljunction/leadership/RollCall.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::int64_t noLimit = std::numeric_limits<std::int64_t>::max();
    /// Advance of the last known coordinator, which reads the record every 0.4 s.
    constexpr std::chrono::milliseconds recoveryStagger { 400 };
    /// Time for the upstreams of a group to confirm its primary; allows for one lost response.
    constexpr std::chrono::milliseconds confirmationTimeout { 1000 };
    /// Allows several round trips between availability zones.
    constexpr std::chrono::milliseconds peerTimeout { 150 };
    /// Time to process responses that arrive just before their timeout.
    constexpr std::chrono::milliseconds voteGracePeriod { 20 };

    struct VersionResponse {
        std::pair<std::uint64_t, std::uint64_t> version;
        Duration sinceVote { 0 };
    };

    std::optional<VersionResponse> decodeVersionResponse(const nlohmann::json& response)
    {
        std::vector<std::string> faults;
        JsonFields fields(response, "record version", faults);
        VersionResponse decoded;
        decoded.version.first = static_cast<std::uint64_t>(fields.getInteger("era", 0, noLimit));
        decoded.version.second = static_cast<std::uint64_t>(fields.getInteger("revision", 0, noLimit));
        decoded.sinceVote = Duration(fields.getInteger("since_vote_us", 0, longestMessageDuration));
        if (faults.empty())
            return decoded;
        logEvent(events::peerMessageInvalid, "reason=\"" + joinFaults(faults) + "\"");
        return std::nullopt;
    }

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

bool PrimaryRecordRecovery::haveEarlierLeasesExpired() const
{
    return this->dependencies.clock.bootNow() - this->eraSeenAt >= leaseDuration + leaseMargin;
}

bool PrimaryRecordRecovery::isKnownCoordinator() const
{
    const VersionedPrimaryRecord& latest = this->dependencies.state.getLeaseTracker().getView().latest;
    return latest.record != nullptr && latest.record->coordinator == this->dependencies.self;
}

PrimaryRecordRecovery::RecordVersion PrimaryRecordRecovery::getKnownVersion() const
{
    const VersionedPrimaryRecord& latest = this->dependencies.state.getLeaseTracker().getView().latest;
    return latest.record == nullptr ? RecordVersion() : RecordVersion(latest.record->era.value(), latest.revision.value());
}

nlohmann::json PrimaryRecordRecovery::makeVersionResponse() const
{
    RecordVersion version = this->getKnownVersion();
    return { { "era", version.first }, { "revision", version.second }, { "since_vote_us", this->dependencies.coordination.getTimeSinceVote().count() } };
}

void PrimaryRecordRecovery::onRecordRead(const std::optional<VersionedPrimaryRecord>& versioned, BootTime sentAt)
{
    if (this->seenEra != this->dependencies.store.getEra()) {
        this->seenEra = this->dependencies.store.getEra();
        this->eraSeenAt = this->dependencies.clock.bootNow();
        // Another instance may have recovered the record in the era between.
        this->outdatedSince.reset();
    }
    if (!versioned)
        this->dependencies.writer.onRecordMissing();
    if (versioned && versioned->isCurrent()) {
        this->outdatedSince.reset();
        this->confirmedAt = versioned->record->coordinator == this->dependencies.self ? std::optional<BootTime>(sentAt) : std::nullopt;
        this->electors = this->dependencies.state.listActiveMembers();
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
        this->recover(std::nullopt);
    else if (this->mayContinue())
        this->requestVersions();
}

bool PrimaryRecordRecovery::mayContinue() const
{
    if (!this->confirmedAt || !this->isKnownCoordinator())
        return false;
    // After a longer time without the store, most of the electors may have been listed as absent, and a takeover may have
    // needed the votes of the others only.
    if (this->dependencies.clock.bootNow() - *this->confirmedAt >= rollCallTime)
        return false;
    // In an era between, another instance may have recovered the record, which takes no votes.
    const PrimaryRecord& record = *this->dependencies.state.getLeaseTracker().getView().latest.record;
    return record.era.next() == this->dependencies.store.getEra();
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
    Duration stagger = this->isKnownCoordinator() ? Duration(0) : recoveryStagger + this->dependencies.coordination.getTakeoverDelay();
    return now - *this->outdatedSince >= recordRecoveryDelay + stagger;
}

void PrimaryRecordRecovery::requestVersions()
{
    // In a larger fleet a takeover needs the votes of a sample only, which a majority of all may miss.
    bool isSampled = chooseVoters(this->electors, this->dependencies.self).size() + 1 < this->electors.size();
    if (isSampled || std::exchange(this->isVoting, true))
        return;
    StoreEra era = this->dependencies.store.getEra();
    RecordVersion version = this->getKnownVersion();
    BootTime startedAt = this->dependencies.clock.bootNow();
    std::shared_ptr<RecoveryVote> vote = std::make_shared<RecoveryVote>(this->electors.size(), std::chrono::duration_cast<Duration>(startedAt - *this->confirmedAt));
    vote->addResponse(this->dependencies.coordination.getTimeSinceVote(), false, Duration(0));
    for (const FleetMember& member : this->electors) {
        if (member.id == this->dependencies.self)
            continue;
        this->dependencies.peers.ask(member.peers, { { "ask", "record_version" } }, peerTimeout, [this, vote, version, startedAt](const std::optional<nlohmann::json>& response) {
            std::optional<VersionResponse> decoded = response ? decodeVersionResponse(*response) : std::nullopt;
            if (decoded)
                vote->addResponse(decoded->sinceVote, decoded->version > version, std::chrono::duration_cast<Duration>(this->dependencies.clock.bootNow() - startedAt));
        });
    }
    this->dependencies.loop.schedule(peerTimeout + voteGracePeriod, [this, vote, version, era] { this->finishVote(*vote, version, era); });
}

void PrimaryRecordRecovery::finishVote(const RecoveryVote& vote, const RecordVersion& version, StoreEra era)
{
    this->isVoting = false;
    if (vote.isWon() && this->outdatedSince && this->getKnownVersion() == version)
        this->recover(era);
}

void PrimaryRecordRecovery::recover(std::optional<StoreEra> completeIn)
{
    if (std::exchange(this->isRecoveryPending, true))
        return;
    this->dependencies.writer.submitRecovery(
        [this, completeIn](PrimaryRecord& record) {
            StoreEra era = this->dependencies.store.getEra();
            const VersionedPrimaryRecord& stored = this->dependencies.writer.getBase();
            bool isRecovered = stored.isCurrent();
            if (isRecovered || stored.storeEra != era)
                return false;
            const VersionedPrimaryRecord& latest = this->dependencies.state.getLeaseTracker().getView().latest;
            if (!this->isKnownCoordinator())
                this->promotionsFrom = this->outdatedSince.value_or(this->dependencies.clock.bootNow()) + promotionDelayAfterRecovery;
            bool isContinued = completeIn == era && this->isKnownCoordinator();
            record = isContinued ? makeContinuedRecord(*latest.record, era) : makeRecoveredRecord(latest.record == nullptr ? record : *latest.record, this->dependencies.self, era);
            return true;
        },
        [this, completeIn](bool isWritten, BootTime) {
            this->isRecoveryPending = false;
            logEvent(events::primaryRecordRecovered, "written=" + std::to_string(isWritten) + " complete=" + std::to_string(completeIn.has_value()) + " store_era=" + std::to_string(this->dependencies.store.getEra().value()));
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
            if (!mayConfirm(record, group, this->dependencies.self))
                return false;
            record.groups[group] = makeConfirmedEntry(record, group, primary, status);
            return true;
        },
        [this, group, primary](bool isWritten, BootTime) {
            logEvent(events::primaryConfirmed, "group=" + group.toString() + " primary=" + primary.toString() + " written=" + std::to_string(isWritten));
            this->confirmations.erase(group);
            // The store may have lost a failover that had paused the replicas.
            if (isWritten)
                this->dependencies.executor.resumeReplicas(group);
        });
}

void PrimaryRecordRecovery::replaceUnconfirmed(const GroupId& group, const Statuses& statuses)
{
    const PrimaryEntry* known = this->dependencies.state.getLeaseTracker().getView().latest.record->find(group);
    std::optional<UpstreamId> primary = chooseUpstreamToReplace(known, statuses);
    this->confirmations.erase(group);
    if (!primary)
        return logEvent(events::primaryConfirmed, "group=" + group.toString() + " primary=none written=0");
    Statuses::const_iterator status = statuses.find(*primary);
    bool isWorking = status != statuses.end() && status->second && status->second->isPrimary;
    this->dependencies.executor.start(group, *primary, isWorking, "the restored record does not show the primary");
}

} // namespace lentiljunction
