#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <optional>

namespace lentiljunction {

/// Minimum time between the last action of one failover coordinator and the first action of the next.
/// Equals the longest lease that the platform assumes for a coordinator.
constexpr std::chrono::milliseconds coordinatorHandoverDelay { 3100 };

/// Prevents two failover coordinators from acting in quick succession.
///
/// A coordinator acts only between two writes of the primary record, so the time for which the record
/// was unchanged is a lower bound of the time for which its coordinator was idle.
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
        this->isChanging = false;
        for (const std::pair<const GroupId, PrimaryEntry>& group : record.groups)
            this->isChanging = this->isChanging || group.second.phase == PrimaryPhase::Changing;
        this->lastRevision = revision;
        this->lastEra = record.era;
        if (record.coordinator != this->self && !record.groups.empty())
            this->otherActedAt = now;
    }

    /// @returns whether this instance may act if it is the failover coordinator
    bool mayAct(BootTime now) const { return !this->otherActedAt || now - *this->otherActedAt >= coordinatorHandoverDelay; }

private:
    InstanceId self;
    std::optional<StoreVersion> lastRevision;
    /// The era of the store to which the revision belongs.
    StoreEra lastEra;
    std::optional<BootTime> otherActedAt;
    bool isChanging = false;
};

} // namespace lentiljunction
