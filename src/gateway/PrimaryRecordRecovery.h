#pragma once

#include "FailoverCoordination.h"
#include "PrimaryRecordWriter.h"
#include "UpstreamCommander.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/leadership/RecordRecovery.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lentiljunction {

/// Creates the primary record, and recovers it after the store was restored from an older copy.
///
/// Failovers may be missing from a restored record, so it grants no lease; until it is recovered, primaries are verified
/// through the upstreams, as without the store. Once nobody can act on the previous era any more, the last known
/// coordinator, or another instance in its place, writes the newest record that it knows with the new era. As the
/// coordinator of that record it then confirms the primary of each group with all upstreams of the group. If they
/// cannot confirm one, it starts a failover of that group.
///
/// Not thread-safe; the control thread owns it.
///
/// @see RecordRecovery.h
class PrimaryRecordRecovery {
public:
    struct Dependencies {
        const Clock& clock;
        FleetStore& store;
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
    void onRecordRead(const std::optional<VersionedPrimaryRecord>& versioned);

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

    void create();
    bool mayRecover(BootTime now) const;
    void recover();
    void confirmGroups();
    void requestStatuses(const GroupId& group);
    void onStatus(const GroupId& group, const UpstreamId& upstream, const std::optional<ReplicationStatus>& status);
    void writeConfirmed(const GroupId& group, const UpstreamId& primary, const ReplicationStatus& status);
    void replaceUnconfirmed(const GroupId& group, const Statuses& statuses);

    Dependencies dependencies;
    bool isFirstStart;
    /// When this instance first read a missing or restored record, until it reads a current one.
    std::optional<BootTime> outdatedSince;
    bool isRecoveryPending = false;
    std::map<GroupId, Confirmation> confirmations;
};

} // namespace lentiljunction
