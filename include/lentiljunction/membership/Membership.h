#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/membership/GossipQueue.h"
#include "lentiljunction/membership/MemberTable.h"
#include "lentiljunction/membership/MembershipMessage.h"
#include "lentiljunction/membership/ProbeOrder.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// Maintains the list of members with the SWIM protocol.
///
/// Each instance probes one member of its own availability zone per period, first directly, then
/// through other members. A member that answers neither becomes suspect, and dead unless it refutes
/// the suspicion with a higher incarnation. Changes are piggybacked on the probes (gossip). A few relays
/// per zone, chosen by rendezvous hashing, probe members of the other zones, so that the cost per
/// instance does not grow with the fleet. Every probe carries one digest of all members. Only if it
/// differs, the instances exchange digests of the zones and then the members of the zones that differ.
///
/// Does no I/O: it receives time and messages, and returns messages to send. Not thread-safe; the
/// control thread owns it.
///
/// @code
/// Membership membership(self, seeds, seed, clock.now());
/// for (const Membership::Outgoing& message : membership.onTick(clock.now()))
///     send(message);
/// @endcode
class Membership {
public:
    /// Receives changes of members.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// @param member the member in its new state
        virtual void onMemberChanged(const Member& member) = 0;
    };

    /// A message to send.
    struct Outgoing {
        InstanceId to;
        MembershipMessage message;
    };

    /// @param self this instance
    /// @param seeds the members that are configured in the settings
    /// @param randomSeed seeds the order of probes
    /// @param now the current time
    Membership(Member self, const std::vector<SeedPeer>& seeds, std::uint64_t randomSeed, TimePoint now);

    /// @param newListener receives changes, or nullptr; must outlive this object
    void setListener(Listener* newListener) { this->listener = newListener; }

    /// Adds unknown instances from the platform's list. No member is removed, because that list lags.
    void addSeeds(const std::vector<SeedPeer>& seeds);

    /// Starts probes and handles timeouts. Call this every few tens of milliseconds.
    ///
    /// @returns the messages to send
    std::vector<Outgoing> onTick(TimePoint now);

    /// @param from the sender
    /// @param message the received message
    /// @returns the messages to send
    std::vector<Outgoing> onMessage(const InstanceId& from, const MembershipMessage& message, TimePoint now);

    /// Announces that this instance is leaving.
    ///
    /// @returns the messages that inform the other members of the zone and the relays of the other zones
    std::vector<Outgoing> leave();

    /// Sets the bundle version that messages carry.
    void setBundleVersion(BundleVersion version) { this->bundleVersion = version; }

    /// @returns all members including this instance; the same object until a member changes
    std::shared_ptr<const MemberList> getMembers() const { return this->table.getAll(); }

    /// @returns the member, or nullptr
    const Member* find(const InstanceId& id) const { return this->table.find(id); }

    /// @returns whether this instance is a relay of its zone
    bool isRelay() const;

    /// @returns the relays of a zone
    std::vector<InstanceId> getRelays(const ZoneId& zone) const;

    /// @param task names a task that one member per zone carries out
    /// @returns the member of this zone that is responsible for it, chosen by rendezvous hashing
    InstanceId getZoneOwner(const std::string& task) const;

private:
    struct Probe {
        InstanceId target;
        std::uint64_t sequence = 0;
        TimePoint startedAt;
        bool isIndirect = false;
        bool isAcked = false;
    };

    /// A ping on behalf of another member, to which its Ack is forwarded.
    struct RelayedPing {
        InstanceId requester;
        std::uint64_t requesterSequence = 0;
        TimePoint startedAt;
    };

    /// Whether a change is passed on to other members.
    enum class Propagation {
        None,
        ByProbes,
    };

    MembershipMessage makeMessage(MembershipMessage::Kind kind, std::uint64_t sequence);
    void onPing(const InstanceId& from, const MembershipMessage& message, std::vector<Outgoing>& out);
    void onAck(const InstanceId& from, const MembershipMessage& message, std::vector<Outgoing>& out);
    void startProbe(std::optional<InstanceId> target, TimePoint now, std::vector<Outgoing>& out);
    void advanceProbes(TimePoint now, std::vector<Outgoing>& out);
    void requestIndirectProbes(Probe& probe, std::vector<Outgoing>& out);
    void expireSuspicions(TimePoint now);
    void apply(const Member& update, TimePoint now, Propagation propagation);
    void refute(const Member& claim);
    void removeDead(TimePoint now);
    void enqueueUpdate(const Member& member);
    void addDigests(MembershipMessage& message) const;
    void sendDifferingZones(const InstanceId& from, const MembershipMessage& message, bool requestsReply, std::vector<Outgoing>& out);
    std::vector<InstanceId> chooseSuspectZoneTargets();

    Member self;
    Random random;
    Listener* listener = nullptr;
    MemberTable table;
    GossipQueue gossip;
    std::map<InstanceId, TimePoint> suspectedAt;
    std::map<InstanceId, TimePoint> diedAt;
    ProbeOrder probeOrder;
    std::vector<Probe> probes;
    std::map<std::uint64_t, RelayedPing> relayedPings;
    /// The number of consecutive failed probes by zone.
    std::map<ZoneId, int> zoneFailures;
    bool hasReceivedSync = false;
    std::uint64_t nextSequence = 1;
    TimePoint nextPeriod;
    BundleVersion bundleVersion;
};

} // namespace lentiljunction
