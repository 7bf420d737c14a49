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

/// Keeps the list of members by probing, in the manner of SWIM.
///
/// Each instance probes one member of its own availability zone per period, directly and then
/// through others. A member that answers neither way is suspected, and dead when it does not
/// refute the suspicion with a higher incarnation. Changes ride on the probes. A few relays per
/// zone, chosen by rendezvous hashing, probe members of the other zones, so the cost per instance
/// does not grow with the fleet. Every probe carries one digest of all members; only when that
/// differs are digests of zones, and then the members of the zones that differ, exchanged.
///
/// Pure: it is fed with time and messages and returns messages. Belongs to the control thread.
///
/// @code
/// Membership membership(self, seeds, seed, clock.now());
/// for (const Membership::Outgoing& message : membership.onTick(clock.now()))
///     send(message);
/// @endcode
class Membership {
public:
    /// Is told of changes.
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
    /// @param seeds members known from the settings
    /// @param randomSeed for the order of probes
    /// @param now the current time
    Membership(Member self, const std::vector<SeedPeer>& seeds, std::uint64_t randomSeed, TimePoint now);

    /// @param newListener told of changes, or nullptr; must outlive this object
    void setListener(Listener* newListener) { this->listener = newListener; }

    /// Takes instances of the platform's list, which lags: unknown ones are added, none is removed.
    void addSeeds(const std::vector<SeedPeer>& seeds);

    /// Lets time pass; call it every few ten milliseconds.
    std::vector<Outgoing> onTick(TimePoint now);

    /// @param from the sender
    /// @param message what it sent
    std::vector<Outgoing> onMessage(const InstanceId& from, const MembershipMessage& message, TimePoint now);

    /// Announces that this instance leaves.
    ///
    /// @returns messages that tell the other members of the zone and the relays at once
    std::vector<Outgoing> leave();

    /// Sets the version that probes carry.
    void setBundleVersion(BundleVersion version) { this->bundleVersion = version; }

    /// @returns every member, this instance included; the same object until something changes
    std::shared_ptr<const MemberList> getMembers() const { return this->table.getAll(); }

    /// @returns the member, or nullptr
    const Member* find(const InstanceId& id) const { return this->table.find(id); }

    /// @returns whether this instance is a relay of its zone
    bool isRelay() const;

    /// @returns the relays of a zone
    std::vector<InstanceId> getRelays(const ZoneId& zone) const;

    /// @returns the member of this zone that carries a duty alone, chosen by rendezvous hashing
    InstanceId getZoneOwner(const std::string& duty) const;

private:
    struct Probe {
        InstanceId target;
        std::uint64_t sequence = 0;
        TimePoint startedAt;
        bool isIndirect = false;
        bool isAcked = false;
    };

    /// An Ack that is to be passed on to who asked for it.
    struct Relayed {
        InstanceId requester;
        std::uint64_t requesterSequence = 0;
        TimePoint startedAt;
    };

    /// Whether news is passed on.
    enum class Spreading {
        None,
        ByProbes,
    };

    MembershipMessage makeMessage(MembershipMessage::Kind kind, std::uint64_t sequence);
    void onPing(const InstanceId& from, const MembershipMessage& message, std::vector<Outgoing>& out);
    void onAck(const InstanceId& from, const MembershipMessage& message, std::vector<Outgoing>& out);
    void startProbe(std::optional<InstanceId> target, TimePoint now, std::vector<Outgoing>& out);
    void progressProbes(TimePoint now, std::vector<Outgoing>& out);
    void askIndirectly(Probe& probe, std::vector<Outgoing>& out);
    void expireSuspicions(TimePoint now);
    void apply(const Member& update, TimePoint now, Spreading spreading);
    void refute(const Member& claim);
    void forgetDead(TimePoint now);
    void spread(const Member& member);
    void addDigests(MembershipMessage& message) const;
    void answerDigests(const InstanceId& from, const MembershipMessage& message, bool asksBack, std::vector<Outgoing>& out);
    std::vector<InstanceId> getSuspectZoneTargets();

    Member self;
    Random random;
    Listener* listener = nullptr;
    MemberTable table;
    GossipQueue rumours;
    std::map<InstanceId, TimePoint> suspectedAt;
    std::map<InstanceId, TimePoint> diedAt;
    ProbeOrder probeOrder;
    std::vector<Probe> probes;
    std::map<std::uint64_t, Relayed> relayed;
    /// Failed probes in a row, by zone.
    std::map<ZoneId, int> zoneFailures;
    bool isIntroduced = false;
    std::uint64_t nextSequence = 1;
    TimePoint nextPeriod;
    BundleVersion bundleVersion;
};

} // namespace lentiljunction
