#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// The kinds of changes that are recorded.
enum class AuditKind {
    BundleCreated,
    BundleApproved,
    BundleRolled,
    BundleInForce,
    Promotion,
    GateMove,
    Membership,
    UpstreamLeaving,
};

/// @returns the kind's name as written to the store
std::string toString(AuditKind kind);

/// One recorded change.
struct AuditRecord {
    WallTime time;
    AuditKind kind = AuditKind::Membership;
    /// The instance or operator that made the change.
    std::string actor;
    /// What changed, for example an upstream or a bundle version.
    std::string subject;
    /// Why it changed.
    std::string reason;
    /// The state or version before.
    std::string before;
    /// The state or version after.
    std::string after;
};

/// @returns the record as written to the store
nlohmann::json toJson(const AuditRecord& record);

/// Queues audit records and groups them into batches for the store, at most one batch per interval.
///
/// While the store is unavailable, records stay in the queue. When the queue is full, the oldest record is
/// dropped and counted. Used from the control thread only.
class AuditTrail {
public:
    /// A batch for the store.
    struct Batch {
        std::string key;
        std::string value;
    };

    /// @param actor the actor of records that name none
    explicit AuditTrail(std::string actor);

    /// Adds a record and logs it.
    void add(AuditRecord record, WallTime now);

    /// @returns the next batch to write, or nothing. The batch stays pending until it was written.
    std::optional<Batch> makeBatch(TimePoint now, WallTime wallNow);

    /// Completes the write of the last batch. A batch that was not written is returned again by makeBatch.
    void onBatchWritten(bool isWritten);

    /// @returns whether records are queued for the store
    bool hasQueuedRecords() const { return !this->queue.empty(); }

    /// @returns the number of records dropped because the queue was full
    std::uint64_t getNumDropped() const { return this->numDropped; }

private:
    std::string actor;
    std::deque<AuditRecord> queue;
    std::optional<Batch> pendingBatch;
    std::size_t numPendingRecords = 0;
    bool isWriting = false;
    int numFailures = 0;
    TimePoint nextBatchTime;
    std::uint64_t numBatches = 0;
    std::uint64_t numDropped = 0;
};

} // namespace lentiljunction
