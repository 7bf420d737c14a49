#include "lentiljunction/audit/AuditTrail.h"

#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/RendezvousHash.h"
#include "lentiljunction/store/PlatformStore.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration batchInterval = std::chrono::seconds(2);
    constexpr Duration maximumJitter = std::chrono::seconds(5);
    /// The delay between writes grows up to this number of failures in a row.
    constexpr int maximumBackOffFactor = 6;
    constexpr std::size_t maximumQueuedRecords = 5000;
    constexpr std::size_t maximumBatchRecords = 500;

} // namespace

std::string toString(AuditKind kind)
{
    switch (kind) {
    case AuditKind::BundleCreated:
        return "bundle_created";
    case AuditKind::BundleApproved:
        return "bundle_approved";
    case AuditKind::BundleRolled:
        return "bundle_rolled";
    case AuditKind::BundleInForce:
        return "bundle_in_force";
    case AuditKind::Promotion:
        return "promotion";
    case AuditKind::GateMove:
        return "gate_move";
    case AuditKind::Membership:
        return "membership";
    case AuditKind::UpstreamLeaving:
        return "upstream_leaving";
    }
    return "membership";
}

nlohmann::json toJson(const AuditRecord& record)
{
    return {
        { "time_ms", toUnixMilliseconds(record.time) },
        { "kind", toString(record.kind) },
        { "actor", record.actor },
        { "subject", record.subject },
        { "reason", record.reason },
        { "before", record.before },
        { "after", record.after },
    };
}

AuditTrail::AuditTrail(std::string actor)
    : actor(std::move(actor))
{
}

void AuditTrail::add(AuditRecord record, WallTime now)
{
    record.time = now;
    if (record.actor.empty())
        record.actor = this->actor;
    spdlog::info("audit {}", toJsonText(toJson(record)));

    this->queue.push_back(std::move(record));
    if (this->queue.size() <= maximumQueuedRecords)
        return;
    this->queue.pop_front();
    this->numDropped++;
    if (this->numPendingRecords > 0)
        this->numPendingRecords--;
}

std::optional<AuditTrail::Batch> AuditTrail::makeBatch(TimePoint now, WallTime wallNow)
{
    if (this->isWriting || this->queue.empty() || now < this->nextBatchTime)
        return std::nullopt;

    this->isWriting = true;
    // The jitter spreads the instances' writes, so that a store that recovers is not overloaded.
    Duration jitter(static_cast<Duration::rep>(stableHash(this->actor + std::to_string(this->numBatches + static_cast<std::uint64_t>(this->numFailures))) % maximumJitter.count()));
    this->nextBatchTime = now + batchInterval + jitter * std::min(this->numFailures, maximumBackOffFactor);
    if (this->pendingBatch)
        return this->pendingBatch;

    nlohmann::json records = nlohmann::json::array();
    this->numPendingRecords = std::min(this->queue.size(), maximumBatchRecords);
    for (std::size_t index = 0; index < this->numPendingRecords; index++)
        records.push_back(toJson(this->queue[index]));
    std::string key = storekeys::audit + std::to_string(toUnixMilliseconds(wallNow)) + "-" + this->actor + "-" + std::to_string(this->numBatches++);
    this->pendingBatch = Batch { key, toJsonText(records) };
    return this->pendingBatch;
}

void AuditTrail::onBatchWritten(bool isWritten)
{
    this->isWriting = false;
    this->numFailures = isWritten ? 0 : this->numFailures + 1;
    if (!isWritten)
        return;

    this->queue.erase(this->queue.begin(), this->queue.begin() + static_cast<std::ptrdiff_t>(this->numPendingRecords));
    this->numPendingRecords = 0;
    this->pendingBatch = std::nullopt;
}

} // namespace lentiljunction
