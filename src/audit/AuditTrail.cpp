#include "lentiljunction/audit/AuditTrail.h"

#include "lentiljunction/core/RendezvousHash.h"
#include "lentiljunction/store/PlatformStore.h"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration batchInterval = std::chrono::seconds(2);
    constexpr Duration maximumJitter = std::chrono::seconds(5);
    /// After this many failures the time between writes grows no further.
    constexpr int maximumBackOff = 6;
    constexpr std::size_t maximumWaiting = 5000;
    constexpr std::size_t maximumPerBatch = 500;

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
    spdlog::info("audit {}", toJson(record).dump());

    this->waiting.push_back(std::move(record));
    if (this->waiting.size() <= maximumWaiting)
        return;
    this->waiting.pop_front();
    this->numDropped++;
    if (this->numUnderWay > 0)
        this->numUnderWay--;
}

std::optional<AuditTrail::Batch> AuditTrail::makeBatch(TimePoint now, WallTime wallNow)
{
    if (this->isWriting || this->waiting.empty() || now < this->nextBatch)
        return std::nullopt;

    this->isWriting = true;
    // Instances spread their writes, so that a store that comes back is not met by all at once.
    Duration jitter(static_cast<Duration::rep>(stableHash(this->actor + std::to_string(this->numBatches + static_cast<std::uint64_t>(this->numFailures))) % maximumJitter.count()));
    this->nextBatch = now + batchInterval + jitter * std::min(this->numFailures, maximumBackOff);
    if (this->underWay)
        return this->underWay;

    nlohmann::json records = nlohmann::json::array();
    this->numUnderWay = std::min(this->waiting.size(), maximumPerBatch);
    for (std::size_t index = 0; index < this->numUnderWay; index++)
        records.push_back(toJson(this->waiting[index]));
    std::string key = storekeys::audit + std::to_string(toUnixMilliseconds(wallNow)) + "-" + this->actor + "-" + std::to_string(this->numBatches++);
    this->underWay = Batch { key, records.dump() };
    return this->underWay;
}

void AuditTrail::onBatchWritten(bool isWritten)
{
    this->isWriting = false;
    this->numFailures = isWritten ? 0 : this->numFailures + 1;
    if (!isWritten)
        return;

    this->waiting.erase(this->waiting.begin(), this->waiting.begin() + static_cast<std::ptrdiff_t>(this->numUnderWay));
    this->numUnderWay = 0;
    this->underWay = std::nullopt;
}

} // namespace lentiljunction
