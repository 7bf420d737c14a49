#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Scheduler.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <deque>
#include <functional>
#include <string>

namespace lentiljunction {

/// Changes the lead record, one change after the other.
///
/// A change is written under the condition that the record is the one it was made from. A lost
/// answer is resolved by reading the record back and looking for the change's own nonce; a conflict
/// by making the change again from the newer record.
///
/// Runs on the control thread. Must not outlive the store and the scheduler.
class PrimaryRecordWriter {
public:
    /// Makes a change.
    ///
    /// @returns false when the record leaves nothing to change or another instance has the duty
    using Change = std::function<bool(PrimaryRecord& record)>;
    /// @param isWritten whether the change is in the record
    /// @param acknowledgedAt when that was known
    using Callback = std::function<void(bool isWritten, BootTime acknowledgedAt)>;

    /// Is told each record that was read or written.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// @param sentAt when the call was sent that brought it
        virtual void onPrimaryRecord(const VersionedPrimaryRecord& versioned, BootTime sentAt) = 0;
    };

    /// @param self makes nonces unlike those of other instances
    PrimaryRecordWriter(FleetStore& store, Scheduler& scheduler, const Clock& clock, const InstanceId& self, Listener& listener);

    /// Queues a change.
    void submit(Change change, Callback callback);

    /// Takes the record that the next change is made from; needed once before the first change.
    void setBase(const VersionedPrimaryRecord& versioned);

private:
    struct Job {
        Change change;
        Callback callback;
        /// Of the last write; empty before the first.
        std::string nonce;
    };

    void startNext();
    void write();
    void readBackRecord(Duration delay);
    void onRecordRead(const std::optional<VersionedPrimaryRecord>& versioned, BootTime sentAt);
    void finish(bool isWritten);

    FleetStore& store;
    Scheduler& scheduler;
    const Clock& clock;
    InstanceId self;
    Listener& listener;
    VersionedPrimaryRecord base;
    std::deque<Job> jobs;
    bool isBusy = false;
    std::uint64_t nextNonce = 1;
};

} // namespace lentiljunction
