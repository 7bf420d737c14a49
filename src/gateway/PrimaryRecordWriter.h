#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Scheduler.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <deque>
#include <functional>
#include <string>

namespace lentiljunction {

/// Writes changes to the primary record, one at a time.
///
/// Each write is conditional on the revision that the change was based on. After a conflict, the change
/// is applied again to the newer record. After a lost response, the record is read back, and the nonce of
/// the write shows whether it succeeded.
///
/// Not thread-safe; the control thread owns it. Must not outlive the store and the scheduler.
class PrimaryRecordWriter {
public:
    /// Applies a change to a record. May be called again for a newer record.
    ///
    /// @returns false when there is nothing to change or the change is no longer allowed
    using Change = std::function<bool(PrimaryRecord& record)>;
    /// @param isWritten whether the change is in the record
    /// @param acknowledgedAt when the writer learned the result
    using Callback = std::function<void(bool isWritten, BootTime acknowledgedAt)>;

    /// Receives each record that was read or written.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// @param sentAt when the call that returned the record was sent
        virtual void onPrimaryRecord(const VersionedPrimaryRecord& versioned, BootTime sentAt) = 0;
    };

    /// @param self part of the nonces, which makes them unique among the instances
    PrimaryRecordWriter(FleetStore& store, Scheduler& scheduler, const Clock& clock, const InstanceId& self, Listener& listener);

    /// Queues a change. It is not written while the record in the store is missing or from an earlier era of the store.
    void submit(Change change, Callback callback) { this->enqueue({ std::move(change), std::move(callback), "", true }); }

    /// Queues a change that is also written when the record in the store is missing or from an earlier era.
    void submitRecovery(Change change, Callback callback) { this->enqueue({ std::move(change), std::move(callback), "", false }); }

    /// Sets the record that the next change is applied to, unless a newer one is known.
    void setBase(const VersionedPrimaryRecord& versioned);

    /// @returns the record that the next change is applied to, with the era of the store in which it was read
    const VersionedPrimaryRecord& getBase() const { return this->base; }

    /// The store has no record in its newest era.
    void onRecordMissing() { this->base = { nullptr, StoreVersion(), this->store.getEra() }; }

private:
    /// A queued change.
    struct Job {
        Change change;
        Callback callback;
        /// Nonce of the last write; empty before the first.
        std::string nonce;
        bool needsCurrentRecord = true;
    };

    void enqueue(Job job);
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
