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

/// The bandwidth of a link in bits per second; zero when it is not known.
using BitRate = Number<struct BitRateTag>;

/// Tells the processes of one instance apart; zero when it is not known.
using ProcessNumber = Number<struct ProcessNumberTag>;

/// The entry of an instance by which other instances find it.
struct FleetMember {
    InstanceId id;
    ZoneId zone;
    /// The address where it listens for other instances.
    Endpoint peers;
    /// The address where it lends connections to upstreams; empty when it lends none.
    std::optional<Endpoint> lending = std::nullopt;
    /// The address where it decides on the limits of workspaces; empty when it enforces none.
    std::optional<Endpoint> quota = std::nullopt;
    /// The bandwidth of its machine's link.
    BitRate linkRate {};
    /// The process that wrote the entry. Lists that instances send each other do not have it.
    ProcessNumber process {};

    friend bool operator==(const FleetMember& left, const FleetMember& right)
    {
        return left.id == right.id && left.zone == right.zone && left.peers == right.peers && left.lending == right.lending && left.quota == right.quota && left.linkRate == right.linkRate && left.process == right.process;
    }
};

/// The entry of an instance, and the era of the store in which it was read.
struct RegisteredMember {
    FleetMember member;
    StoreEra era;
    /// The revision of the entry, which belongs to the era.
    StoreVersion revision {};
};

/// The routing configuration and its revision in the store.
struct VersionedRoutes {
    std::shared_ptr<const RouteTable> table;
    StoreVersion revision;
    /// The era of the store to which the revision belongs.
    StoreEra era = StoreEra();
    /// The store has a configuration that cannot be decoded, which may be newer than the known one.
    bool isInvalid = false;
};

/// The state that all instances share: routing configuration, upstreams, primary record and instances.
///
/// Calls are asynchronous: the callback runs exactly once, on the control thread, with a value or a failure.
/// Failure::Kind::NotFound means that the object does not exist, Conflict that it has another revision,
/// Unavailable that the call had no effect, InDoubt that a write may still take effect.
class FleetStore {
public:
    template <typename T>
    using Callback = std::function<void(std::optional<T>, const Failure&)>;

    virtual ~FleetStore() = default;

    /// @returns the newest era of the store that a response named, zero before the first
    virtual StoreEra getEra() const = 0;

    /// Reads the routing configuration, linearizable.
    virtual void readRoutes(Callback<VersionedRoutes> callback) = 0;

    /// @returns the bytes of responses to readRoutes() that have been received since the start, those of incomplete ones
    ///     included
    virtual std::uint64_t countRouteBytes() const { return 0; }

    /// Waits for a routing configuration later than a revision. A response of a newer era than that of the revision does
    /// not show what was written in between.
    ///
    /// @param wait maximum time to wait; afterwards the callback receives the current revision and no table
    virtual void watchRoutes(StoreVersion after, Duration wait, Callback<VersionedRoutes> callback) = 0;

    /// Reads the list of registered upstreams.
    ///
    /// @param isLinearizable whether the list must show all changes before the call; otherwise it may be seconds old
    virtual void listUpstreams(bool isLinearizable, Callback<std::shared_ptr<const UpstreamList>> callback) = 0;

    /// Reads the primary record, linearizable.
    virtual void readPrimaryRecord(Callback<VersionedPrimaryRecord> callback) = 0;

    /// Replaces the primary record if it has the expected revision.
    ///
    /// @param expected the expected revision; zero when the record must not exist yet
    virtual void writePrimaryRecord(const PrimaryRecord& record, StoreVersion expected, Callback<VersionedPrimaryRecord> callback) = 0;

    /// Registers an instance, replacing an earlier entry of the same id. The callback receives the era of the store in
    /// which it is registered.
    virtual void registerMember(const FleetMember& member, Callback<StoreEra> callback) = 0;

    /// Reads the entry of an instance, linearizable.
    virtual void readMember(const InstanceId& member, Callback<RegisteredMember> callback) = 0;

    /// Removes the entry of an instance if it has the expected revision.
    virtual void removeMember(const InstanceId& member, StoreVersion expected, Callback<bool> callback) = 0;

    /// Reads the list of instances.
    ///
    /// @param isLinearizable whether the list must contain all instances that registered before the call
    virtual void listMembers(bool isLinearizable, Callback<std::vector<FleetMember>> callback) = 0;

    /// Stores audit records permanently; a Conflict means that they are already stored.
    ///
    /// @param key the key of the records, unique among all instances
    /// @param records a JSON array
    virtual void writeAudit(const std::string& key, const std::string& records, Callback<bool> callback) = 0;

    /// Requests the promotion of an upstream to the primary of its group.
    ///
    /// A Conflict means that this upstream cannot become the primary.
    ///
    /// @param coordinator the calling instance, which must be the failover coordinator
    /// @param fencingToken the token of its coordination, PrimaryRecord::epoch; not checked here
    virtual void promote(const GroupId& group, const UpstreamId& upstream, const InstanceId& coordinator, FencingToken fencingToken, std::function<bool()> mayBeSent, Callback<bool> callback) = 0;
};

} // namespace lentiljunction
