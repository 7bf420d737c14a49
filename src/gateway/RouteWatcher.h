#pragma once

#include "../net/OneShotTimer.h"
#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/routes/ActiveRoutes.h"
#include "lentiljunction/routes/KeyFreshnessTracker.h"
#include "lentiljunction/routes/RelayedRoutes.h"
#include "lentiljunction/routes/RouteProof.h"

namespace lentiljunction {

/// Keeps the routing configuration of one instance up to date, and knows when it was last proven to be the newest one.
///
/// Only a read of the store proves that: the own one, or that of an instance that has the same version. A watch and any
/// message of another instance tell of newer versions, and prove nothing.
///
/// Reads the store regularly, unless another instance of the availability zone does and reports its proofs. A table from
/// another instance comes into force as the first one only when it is proven, or when neither the store nor any other
/// instance can prove one.
///
/// Not thread-safe; the control thread owns it.
///
/// @see RouteProofTracker, RelayedRoutes, PeerConfirmation
class RouteWatcher {
public:
    /// Receives newer configurations.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onRoutesInForce(const std::shared_ptr<const RouteTable>& table) = 0;
        /// A read of the store named its newest revision.
        virtual void onStoreRevision(StoreVersion revision, StoreEra era, BootTime sentAt) = 0;
    };

    /// All must outlive this object.
    ///
    /// @param self this instance, which other instances are told of as the one to which the store confirmed a version
    RouteWatcher(EventLoop& loop, const Clock& clock, FleetStore& store, InstanceId self, Listener& listener);

    /// Begins to read and to watch the configuration.
    void start() { this->read(); }

    /// Processes the proof that the zone reader reported.
    ///
    /// @param reader where that instance listens for others
    /// @param sentAt when the request was sent
    /// @returns whether that instance has a newer version, which should be requested
    bool onRelayedFreshness(const RouteFreshness& freshness, const Endpoint& reader, BootTime sentAt);

    /// The zone reader did not respond, so this instance reads the store until it does.
    void onZoneReaderLost();

    /// Sets the place of this instance among those that read the store for its zone, zero for the zone reader.
    ///
    /// @see rankZoneReaders
    void setReaderRank(std::size_t rank);

    /// Processes the proof of an instance of any zone. Unlike after onRelayedFreshness(), this instance goes on to read
    /// the store.
    ///
    /// @param peer where that instance listens for others
    /// @param sentAt when the request was sent
    /// @returns whether that instance has a newer version, which should be requested
    bool onPeerFreshness(const RouteFreshness& freshness, const Endpoint& peer, BootTime sentAt);

    /// Processes the version that another instance named in any message. If it is newer, the store is read unless the other
    /// instance sends its table soon.
    ///
    /// @returns whether it is newer than all known ones
    bool onVersionReported(BundleVersion version, const RouteSource& source);

    /// The transfer of a newer configuration from another instance goes on, so the store need not be read for it yet.
    void onTransferProgress() { this->proofs.onTransferProgress(this->clock.bootNow()); }

    /// One instance of each zone was asked for its proof and has responded, or will not.
    void onOtherInstancesAsked();

    /// Offers a configuration from another instance or the store; an older one is ignored.
    void offer(std::shared_ptr<const RouteTable> table, const RouteSource& source);

    /// @returns the configuration version with the age of its proof, for other instances; nothing when this instance
    /// cannot vouch for it: without a recent proof, or when a newer version is known
    std::optional<RouteFreshness> getFreshness() const;

    /// @returns the configuration in force, or nullptr before the first
    const std::shared_ptr<const RouteTable>& getTable() const { return this->routes.getTable(); }

    /// @returns the newest configuration, also if it is not in force yet, or nullptr
    const std::shared_ptr<const RouteTable>& getNewestTable() const { return this->routes.getTable() != nullptr ? this->routes.getTable() : this->unprovenTable; }

    /// @returns how long keys may be decided with the configuration in force; nullptr before the first
    std::shared_ptr<const RouteConfirmation> getConfirmation() const { return this->keyFreshness.getConfirmation(); }

    /// @returns when other instances must be asked for their proofs, which may be in the past
    BootTime getOtherInstancesNeededAt() const { return this->routes.getTable() != nullptr ? this->proofs.getOtherInstancesNeededAt() : BootTime(); }

    /// @returns whether another instance is known to have a newer version
    bool isBehind() const { return this->proofs.getNewer().has_value(); }

    /// Sets the zones in which other instances run.
    void setZones(std::set<ZoneId> others) { this->keyFreshness.setZones(std::move(others)); }

    /// Another instance of a zone reported that it has no contact with the store.
    ///
    /// @param sentAt when the request was sent
    void onZoneWithoutStore(const ZoneId& zone, BootTime sentAt) { this->keyFreshness.onZoneWithoutStore(zone, sentAt); }

    /// @returns the revision of the store from which the routes are watched
    StoreVersion getRevision() const { return this->revision; }

    /// @returns the newest proof that the configuration in force is the newest one, or nothing before the first
    const std::optional<RouteProof>& getProof() const { return this->proofs.getProof(); }

private:
    void read();
    /// Reads the store now, unless a read is pending.
    void readNow();
    void onReadDone(const VersionedRoutes& versioned, BootTime sentAt);
    void onReadFailed(const Failure& failure);
    void scheduleRead();
    /// @returns the time from the end of a read to the next one
    Duration getReadInterval() const;
    /// Reads the store, unless the proofs of the zone reader are recent enough.
    void readUnlessRelayed();
    /// @returns whether the zone reader tells of changes in time
    bool isRelayed() const { return !this->isBehind() && this->relayedFreshness.isFresh(this->clock.bootNow()); }
    void watch();
    void onWatchDone(const VersionedRoutes& versioned);
    bool hasWorkspaces() const { return this->routes.getTable() != nullptr && this->routes.getTable()->workspaces; }
    void recordProof(const RouteProof& proof);
    bool isNewer(const RouteFreshness& freshness, const RouteSource& source);
    void putInForce(const std::shared_ptr<const RouteTable>& table, const RouteSource& source);
    /// Puts the configuration in force that came from another instance before there was any.
    void releaseUnprovenTable();
    /// Logs when the configuration begins or ceases to count as proven.
    void checkProven();

    const Clock& clock;
    FleetStore& store;
    InstanceId self;
    Listener& listener;
    ActiveRoutes routes;
    /// The first configuration from another instance, until it is proven.
    std::shared_ptr<const RouteTable> unprovenTable;
    RouteSource unprovenSource;
    /// The version of that configuration when other instances had been asked the last time.
    std::optional<BundleVersion> askedAboutVersion;
    /// The revision of the last response, and the era of the store that issued it; the watch reports later ones.
    StoreVersion revision;
    StoreEra era;
    RelayedFreshness relayedFreshness;
    KeyFreshnessTracker keyFreshness;
    RouteProofTracker proofs;
    /// The read that was sent last; an earlier one may still be answered.
    std::uint64_t lastRead = 0;
    bool isReadPending = false;
    BootTime readSentAt;
    /// The bytes of the configuration that had been received when the last read was sent.
    std::uint64_t numBytesAtStart = 0;
    /// The same when the pending read was last found to go on.
    std::uint64_t numBytesAtCheck = 0;
    /// How long the last read that was answered took.
    Duration readDuration { 0 };
    /// When the read was sent whose response was used last.
    BootTime appliedReadAt;
    bool isWatching = false;
    /// A first read has been answered, or has failed.
    bool isFirstReadDone = false;
    Backoff storeRetries;
    /// Until the next read, or until the one that is pending counts as failed.
    OneShotTimer readTimer;
    /// Until the last proof expires.
    OneShotTimer proofTimer;
};

} // namespace lentiljunction
