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

/// @returns the kind as stored
std::string toString(AuditKind kind);

/// One recorded change.
struct AuditRecord {
    WallTime time;
    AuditKind kind = AuditKind::Membership;
    /// Who made the change: an instance or an operator.
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

/// @returns the record as stored
nlohmann::json toJson(const AuditRecord& record);

/// Collects records and makes batches of them for the store, at most one per interval.
///
/// While the store is down, records wait; of more than a bound, the oldest are dropped and
/// counted. Belongs to the control thread.
class AuditTrail {
public:
    /// A batch for the store.
    struct Batch {
        std::string key;
        std::string value;
    };

    /// @param actor who is recorded when a record names nobody
    explicit AuditTrail(std::string actor);

    /// Adds a record and logs it.
    void add(AuditRecord record, WallTime now);

    /// @returns the next batch to write, or nothing; it stays until onBatchWritten
    std::optional<Batch> makeBatch(TimePoint now, WallTime wallNow);

    /// Notes the end of the write of the last batch.
    void onBatchWritten(bool isWritten);

    /// @returns whether records wait for the store
    bool hasQueuedRecords() const { return !this->queue.empty(); }

    /// @returns records dropped because too many waited
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
