#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lentiljunction {

/// Minimum time between the last action of one failover coordinator and the first action of the next.
/// Equals the longest lease that the platform assumes for a coordinator.
constexpr std::chrono::milliseconds coordinatorHandoverDelay { 3100 };

/// Prevents two failover coordinators from acting in quick succession.
///
/// A coordinator acts only between two writes of a group's failover, so the time for which the failovers in the record
/// were unchanged is a lower bound of the time for which its coordinator was idle. Other writes, of a first primary, of log
/// holders, or of retired instances, are no action.
///
/// Not thread-safe; the control thread owns it.
class CoordinatorHandover {
public:
    explicit CoordinatorHandover(InstanceId self)
        : self(std::move(self))
    {
    }

    /// Processes a record that was read or written.
    ///
    /// @param revision the revision of the record in the store
    /// @param now the time of the read or write
    void onRecord(const PrimaryRecord& record, StoreVersion revision, BootTime now)
    {
        // While a failover is in progress, its coordinator may act until a newer record is read.
        if (this->lastRevision && *this->lastRevision == revision && this->lastEra == record.era && !this->isChanging)
            return;
        Failovers failovers = listFailovers(record);
        bool isSame = this->lastRevision && this->lastEra == record.era && this->lastEpoch == record.epoch && this->lastFailovers == failovers;
        bool wasChanging = std::exchange(this->isChanging, false);
        for (const std::pair<const GroupId, FailoverState>& failover : failovers)
            this->isChanging = this->isChanging || failover.second.phase == PrimaryPhase::Changing;
        this->lastRevision = revision;
        this->lastEra = record.era;
        this->lastEpoch = record.epoch;
        this->lastFailovers = std::move(failovers);
        if (record.coordinator != this->self && !this->lastFailovers.empty() && (!isSame || wasChanging))
            this->otherActedAt = now;
    }

    /// @returns whether this instance may act if it is the failover coordinator
    bool mayAct(BootTime now) const { return !this->otherActedAt || now - *this->otherActedAt >= coordinatorHandoverDelay; }

private:
    /// The part of a group's entry that a failover changes.
    struct FailoverState {
        PrimaryPhase phase = PrimaryPhase::Stable;
        std::uint64_t generation = 0;
        std::vector<OpenPromotion> openPromotions;

        friend bool operator==(const FailoverState& left, const FailoverState& right) { return left.phase == right.phase && left.generation == right.generation && left.openPromotions == right.openPromotions; }
    };
    using Failovers = std::map<GroupId, FailoverState>;

    /// @returns the groups whose primary was replaced, or is being replaced
    static Failovers listFailovers(const PrimaryRecord& record)
    {
        Failovers failovers;
        for (const std::pair<const GroupId, PrimaryEntry>& group : record.groups) {
            const PrimaryEntry& entry = group.second;
            if (entry.phase == PrimaryPhase::Changing || entry.isTermKnown() || entry.generation > 0)
                failovers[group.first] = { entry.phase, entry.generation, entry.openPromotions };
        }
        return failovers;
    }

    InstanceId self;
    std::optional<StoreVersion> lastRevision;
    /// The era of the store to which the revision belongs.
    StoreEra lastEra;
    FencingToken lastEpoch;
    Failovers lastFailovers;
    std::optional<BootTime> otherActedAt;
    bool isChanging = false;
};

} // namespace lentiljunction
