#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/routes/RouteTable.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lentiljunction {

/// How an instance is found by the others.
struct FleetMember {
    InstanceId id;
    ZoneId zone;
    /// Where it listens for other instances.
    Endpoint peers;
};

/// The routing configuration with the revision under which the store holds it.
struct VersionedRoutes {
    std::shared_ptr<const RouteTable> table;
    StoreVersion revision;
};

/// Whatever the instances share: configuration, the list of upstreams, who leads, who is there.
///
/// Calls return at once; the callback runs on the control thread, exactly once, with a value or with
/// a failure. Failure::Kind::NotFound means that the object does not exist, Conflict that another
/// revision is there, Unavailable that nothing was done, InDoubt that a write may still happen.
class FleetStore {
public:
    template <typename T>
    using Callback = std::function<void(std::optional<T>, const Failure&)>;

    virtual ~FleetStore() = default;

    /// Reads the configuration, linearizable.
    virtual void readRoutes(Callback<VersionedRoutes> callback) = 0;

    /// Waits for a configuration later than a revision.
    ///
    /// @param wait gives up after this time with the revision reached and no table
    virtual void watchRoutes(StoreVersion after, Duration wait, Callback<VersionedRoutes> callback) = 0;

    /// Reads the upstreams that report themselves; the list may be seconds old.
    virtual void listUpstreams(Callback<std::shared_ptr<const UpstreamList>> callback) = 0;

    /// Reads who leads, linearizable.
    virtual void readLead(Callback<VersionedPrimaryRecord> callback) = 0;

    /// Replaces the lead record if it still has the expected revision.
    ///
    /// @param expected zero when there must be none yet
    virtual void writeLead(const PrimaryRecord& record, StoreVersion expected, Callback<VersionedPrimaryRecord> callback) = 0;

    /// Makes this instance known to the others; a former entry of the same name is replaced.
    virtual void registerMember(const FleetMember& member, Callback<bool> callback) = 0;

    /// Removes an instance that leaves for good.
    virtual void removeMember(const InstanceId& member, Callback<bool> callback) = 0;

    /// Reads the instances.
    ///
    /// @param isLinearizable whether the list must hold every instance that registered before the call
    virtual void listMembers(bool isLinearizable, Callback<std::vector<FleetMember>> callback) = 0;

    /// Keeps records of changes for good; a Conflict means that they are there already.
    ///
    /// @param key names the records among those of all instances
    /// @param records a JSON array
    virtual void writeAudit(const std::string& key, const std::string& records, Callback<bool> callback) = 0;

    /// Asks for a new primary of a group. Checks no epoch: the caller must be sure to hold the duty.
    ///
    /// A Conflict means that this upstream cannot lead.
    virtual void promote(const GroupId& group, const UpstreamId& upstream, const InstanceId& holder, FencingToken epoch, Callback<bool> callback) = 0;
};

} // namespace lentiljunction
