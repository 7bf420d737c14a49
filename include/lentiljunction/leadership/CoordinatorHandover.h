#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <optional>

namespace lentiljunction {

/// Between the last act of one holder of the duty and the first of the next: the longest lease that
/// the platform counts for a holder.
constexpr std::chrono::milliseconds coordinatorHandoverDelay { 3100 };

/// Keeps holders of the duty from acting in quick turns.
///
/// A holder acts only between two writes of the lead record, so a record that stood unchanged shows
/// how long its holder has been idle at least.
///
/// Not thread-safe; the control thread owns it.
class CoordinatorHandover {
public:
    explicit CoordinatorHandover(InstanceId self)
        : self(std::move(self))
    {
    }

    /// Notes a record that was read or written.
    void onRecord(const PrimaryRecord& record, StoreVersion revision, BootTime now)
    {
        // A change that is under way may be acted upon until the next record is seen.
        if (this->lastRevision && *this->lastRevision == revision && !this->isChanging)
            return;
        this->isChanging = false;
        for (const std::pair<const GroupId, PrimaryEntry>& group : record.groups)
            this->isChanging = this->isChanging || group.second.phase == PrimaryPhase::Changing;
        this->lastRevision = revision;
        if (record.coordinator != this->self && !record.groups.empty())
            this->otherActedAt = now;
    }

    /// @returns whether this instance, if it holds the duty, may act on it
    bool mayAct(BootTime now) const { return !this->otherActedAt || now - *this->otherActedAt >= coordinatorHandoverDelay; }

private:
    InstanceId self;
    std::optional<StoreVersion> lastRevision;
    std::optional<BootTime> otherActedAt;
    bool isChanging = false;
};

} // namespace lentiljunction
