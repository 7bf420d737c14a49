#pragma once

#include "FailoverCoordination.h"
#include "PrimaryRecordWriter.h"
#include "UpstreamCommander.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/leadership/RecordRecovery.h"
#include "lentiljunction/leadership/RecoveryVote.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lentiljunction {

/// Creates the primary record, and recovers it after the store was restored from an older copy.
///
/// Failovers may be missing from a restored record, so it grants no lease; until it is recovered, primaries are verified
/// through the upstreams, as without the store. If a majority shows that the last known coordinator still is the
/// coordinator, it writes its record again with the new era. Otherwise it, or another instance in its place, waits until
/// nobody can act on the previous era any more, writes the newest record that it knows, and confirms the primary of each
/// group with all upstreams of the group. If they cannot confirm one, it starts a failover of that group.
///
/// Not thread-safe; the control thread owns it.
///
/// @see RecordRecovery.h
class PrimaryRecordRecovery {
public:
    struct Dependencies {
        EventLoop& loop;
        const Clock& clock;
        FleetStore& store;
        PeerRpc& peers;
        PrimaryRecordWriter& writer;
        UpstreamCommander& commander;
        FailoverExecutor& executor;
        const FailoverCoordination& coordination;
        const FailoverCoordination::KnownState& state;
        InstanceId self;
    };

    /// @param isFirstStart whether the whole system starts for the first time, so that a missing record was never written
    PrimaryRecordRecovery(const Dependencies& dependencies, bool isFirstStart);

    /// Handles the result of a read of the record from the store.
    ///
    /// @param versioned nothing when the store has no record
    /// @param sentAt when the read was sent
    void onRecordRead(const std::optional<VersionedPrimaryRecord>& versioned, BootTime sentAt);

    /// @returns the version of the newest known record and the time since the last vote, for the coordinator
    nlohmann::json makeVersionResponse() const;

    /// @returns whether a coordinator of the previous era can no longer act
    bool mayPromote() const { return !this->promotionsFrom || this->dependencies.clock.bootNow() >= *this->promotionsFrom; }

    /// @returns whether all leases on records of the previous era have expired
    bool haveEarlierLeasesExpired() const;

    /// @returns whether the newest known record was written in the present era of the store
    bool isRecordCurrent() const;

private:
    using Statuses = std::map<UpstreamId, std::optional<ReplicationStatus>>;

    /// The confirmation of the primary of one group.
    struct Confirmation {
        TimePoint startedAt;
        /// Upstreams that were queried and have not responded yet.
        std::set<UpstreamId> pending;
        Statuses statuses;
        bool isWriting = false;
    };

    /// The version of a record: its era and its revision.
    using RecordVersion = std::pair<std::uint64_t, std::uint64_t>;

    RecordVersion getKnownVersion() const;
    bool isKnownCoordinator() const;
    void create();
    bool mayRecover(BootTime now) const;
    /// @returns whether a vote can show that no failover is missing from the known record
    bool mayContinue() const;
    void requestVersions();
    void finishVote(const RecoveryVote& vote, const RecordVersion& version, StoreEra era);
    /// @param completeIn the era in which a vote showed that no failover is missing from the known record
    void recover(std::optional<StoreEra> completeIn);
    void confirmGroups();
    void requestStatuses(const GroupId& group);
    void onStatus(const GroupId& group, const UpstreamId& upstream, const std::optional<ReplicationStatus>& status);
    void writeConfirmed(const GroupId& group, const UpstreamId& primary, const ReplicationStatus& status);
    void replaceUnconfirmed(const GroupId& group, const Statuses& statuses);

    Dependencies dependencies;
    bool isFirstStart;
    /// When this instance first read a missing or restored record, until it reads a current one.
    std::optional<BootTime> outdatedSince;
    /// When this instance first saw the present era of the store.
    StoreEra seenEra;
    BootTime eraSeenAt;
    /// When the last read was sent that returned a current record with this instance as the coordinator.
    std::optional<BootTime> confirmedAt;
    /// The active instances at that time; the list of a restored store may lack some.
    std::vector<FleetMember> electors;
    /// When this instance may promote after it recovered the record of another coordinator.
    std::optional<BootTime> promotionsFrom;
    bool isVoting = false;
    bool isRecoveryPending = false;
    std::map<GroupId, Confirmation> confirmations;
};

} // namespace lentiljunction
