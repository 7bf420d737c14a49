#pragma once

#include "PrimaryRecordWriter.h"
#include "UpstreamCommander.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/leadership/GroupRegistration.h"
#include "lentiljunction/leadership/LeaseTracker.h"
#include "lentiljunction/leadership/LogHolderRemoval.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lentiljunction {

/// Keeps the primary record complete while this instance is the failover coordinator.
///
/// Not thread-safe; the control thread owns it.
///
/// @see GroupRegistration, which decides what is missing, and LogHolderRemoval, which decides what is no longer needed
class GroupRegistrar {
public:
    /// The state of the control plane that is needed.
    class KnownState {
    public:
        virtual ~KnownState() = default;

        /// @returns the known upstreams
        virtual const UpstreamList& getUpstreamList() const = 0;
        virtual const LeaseTracker& getLeaseTracker() const = 0;

        /// @returns whether an upstream is not listed and counts as gone
        virtual bool isUpstreamGone(const UpstreamId& upstream) const = 0;

        /// @returns the routes in force, or nullptr
        virtual const std::shared_ptr<const RouteTable>& getRoutes() const = 0;
    };

    GroupRegistrar(EventLoop& loop, const Clock& clock, UpstreamCommander& commander, PrimaryRecordWriter& writer, const KnownState& state, InstanceId self);

    /// Adds to the record what is missing, and removes log holders that are gone. Call it after the list of upstreams was
    /// read.
    void check();

private:
    /// The logs that the upstreams of one group report.
    struct Survey {
        std::uint64_t generation = 0;
        std::set<UpstreamId> pending;
        LogHolderRemoval::Statuses statuses;
    };

    bool isCoordinator() const;
    const PrimaryRecord& getRecord() const { return *this->state.getLeaseTracker().getView().latest.record; }
    void write();
    /// Asks the groups whose log holders are gone for their logs.
    void surveyLogs();
    void requestLogs(const GroupId& group);
    void onLog(const GroupId& group, const UpstreamId& upstream, const std::optional<ReplicationStatus>& status);
    void removeHolders(const GroupId& group, std::uint64_t generation, std::vector<LogHolder> holders);

    EventLoop& loop;
    const Clock& clock;
    UpstreamCommander& commander;
    PrimaryRecordWriter& writer;
    const KnownState& state;
    InstanceId self;
    GroupRegistration registration;
    LogHolderRemoval removal;
    std::map<GroupId, Survey> surveys;
    bool isWriting = false;
};

} // namespace lentiljunction
