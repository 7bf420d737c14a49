#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Endpoint.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/session/TermHistory.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lentiljunction {

/// Whether a group has a primary that may be used.
enum class PrimaryPhase {
    /// The primary accepts writes.
    Stable,
    /// The primary is being replaced; no instance may use it.
    Changing,
};

/// Promotion calls that one coordinator may have sent for one upstream in one failover. Each may take effect once, several
/// times, late, or never, whatever its response.
struct OpenPromotion {
    UpstreamId upstream;
    /// The fencing token of the coordinator that sent them.
    FencingToken epoch;
    /// PrimaryEntry::generation before the failover in which they were sent.
    std::uint64_t generation = 0;

    friend bool operator==(const OpenPromotion& left, const OpenPromotion& right) { return left.upstream == right.upstream && left.epoch == right.epoch && left.generation == right.generation; }
    friend bool operator<(const OpenPromotion& left, const OpenPromotion& right) { return std::tie(left.upstream, left.epoch, left.generation) < std::tie(right.upstream, right.epoch, right.generation); }
};

/// An upstream, other than the primary, whose log may hold acknowledged commits of its group.
///
/// Identified by the upstream and its start.
struct LogHolder {
    UpstreamId upstream;
    /// When its process started, as it reports; nothing when it does not.
    std::optional<WallTime> startedAt = std::nullopt;
    /// Its address, once it has announced that it leaves. Its log is transferred to its successor there.
    std::optional<Endpoint> leavingFrom = std::nullopt;

    friend bool operator==(const LogHolder& left, const LogHolder& right) { return left.upstream == right.upstream && left.startedAt == right.startedAt; }
    friend bool operator<(const LogHolder& left, const LogHolder& right) { return std::tie(left.upstream, left.startedAt) < std::tie(right.upstream, right.startedAt); }
};

/// The primary of one group.
struct PrimaryEntry {
    PrimaryPhase phase = PrimaryPhase::Stable;
    /// The current primary, or the one that is being replaced.
    UpstreamId primary;
    /// Number of failovers of this group. A response of an upstream is valid only if the generation has
    /// not changed since the request.
    std::uint64_t generation = 0;
    /// Log head of the primary at its promotion. Entries of earlier terms beyond it did not survive.
    LogPoint baseline;
    /// The greatest known term of the group.
    Term term;
    /// The era of the store in which the entry was written, or last confirmed by the upstreams of the group.
    StoreEra era = StoreEra();
    /// Promotion calls that may still take effect. They are written before they are sent, so every successor of the
    /// coordinator knows them.
    ///
    /// @see OpenPromotionTracker
    std::vector<OpenPromotion> openPromotions = {};
    /// Where commits wait for replicas, the upstreams whose logs a failover must know; their entries in the list of upstreams
    /// may expire before.
    ///
    /// @see GroupRegistration
    std::vector<LogHolder> logHolders = {};

    /// @returns whether the term of the primary is known; that of a group's first primary is not, so nothing is newer than it
    bool isTermKnown() const { return this->term != Term(); }

    /// Limits a log point to what survived the promotion of this primary. A point in the term of this primary, or in a
    /// later one, was not written before that promotion, whatever the generation in which an instance learnt it: a record
    /// that was restored from an older copy lacks failovers.
    ///
    /// @returns the lowest point that the log of an upstream must reach to have all that survived up to `point`
    LogPoint limitToSurviving(const LogPoint& point) const { return point.term < this->term ? std::min(point, this->baseline) : point; }
};

/// The primary of each group and the failover coordinator. All instances share this one object in the
/// store.
///
/// A group gets its entry when the coordinator sees its first primary. A group without one has never had a failover, unless
/// the record was restored from an older copy.
///
/// @see GroupRegistration, PrimaryRecordRecovery
struct PrimaryRecord {
    /// The failover coordinator: the only instance that may promote.
    InstanceId coordinator;
    /// Increases with each change of coordinator.
    FencingToken epoch;
    std::map<GroupId, PrimaryEntry> groups;
    /// Instances that did not confirm a failover. A retired instance gets no lease until it has removed
    /// itself from this set, so later failovers need not wait for it.
    std::set<InstanceId> retired;
    /// Unique for each write, so that the writer recognises its write after a lost response.
    std::string nonce;
    /// The era of the store in which the record was written. In a later era it is a copy that may lack failovers.
    StoreEra era = StoreEra();
    /// The era in which groups without an entry are known to have had no failover: that of the record's creation, or of a
    /// later continuation; zero when failovers may be missing.
    StoreEra createdIn = StoreEra();
    /// Instances that did not respond for some time. Each one that reads this removes itself; one that does not is no longer
    /// counted in votes. Failovers still wait for its lease.
    ///
    /// @see RollCall
    std::set<InstanceId> absent = {};

    /// @returns the entry of a group, or nullptr
    const PrimaryEntry* find(const GroupId& group) const
    {
        std::map<GroupId, PrimaryEntry>::const_iterator found = this->groups.find(group);
        return found == this->groups.end() ? nullptr : &found->second;
    }

    /// @returns whether the primary of a group is known in the era of the record; otherwise a failover may have been lost
    bool isConfirmed(const GroupId& group) const
    {
        const PrimaryEntry* entry = this->find(group);
        return (entry == nullptr ? this->createdIn : entry->era) == this->era;
    }
};

/// A primary record with its revision in the store.
struct VersionedPrimaryRecord {
    std::shared_ptr<const PrimaryRecord> record;
    StoreVersion revision;
    /// The era of the store in which the record was read or written.
    StoreEra storeEra = StoreEra();

    /// @returns whether the record was written in the era in which it was read
    bool isCurrent() const { return this->record != nullptr && this->record->era == this->storeEra; }

    /// @returns whether this record was written later, in whatever era either was read
    bool isNewerThan(const VersionedPrimaryRecord& other) const
    {
        if (this->record == nullptr || other.record == nullptr)
            return other.record == nullptr && this->record != nullptr;
        return std::tie(other.record->era, other.revision) < std::tie(this->record->era, this->revision);
    }
};

} // namespace lentiljunction
