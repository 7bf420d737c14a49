#include "AuditWriter.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Collects records of about the same time into one write; AuditTrail limits the rate of further writes.
    constexpr std::chrono::milliseconds writeDelay { 1000 };

} // namespace

AuditWriter::AuditWriter(EventLoop& loop, const Clock& clock, FleetStore& store, const InstanceId& self)
    : loop(loop)
    , clock(clock)
    , store(store)
    , trail(self.toString())
{
}

void AuditWriter::add(AuditRecord record)
{
    this->trail.add(std::move(record), this->clock.wallNow());
    this->scheduleWrite();
}

void AuditWriter::scheduleWrite()
{
    if (std::exchange(this->isScheduled, true))
        return;
    this->loop.schedule(writeDelay, [this] {
        this->isScheduled = false;
        this->write();
    });
}

void AuditWriter::write()
{
    if (!this->trail.hasQueuedRecords())
        return;
    std::optional<AuditTrail::Batch> batch = this->trail.makeBatch(this->clock.now(), this->clock.wallNow());
    if (!batch)
        return this->scheduleWrite();
    this->store.writeAudit(batch->key, batch->value, [this](const std::optional<bool>& isWritten, const Failure& failure) {
        // After a lost response, the next attempt conflicts with the entry that the lost write created.
        bool isStored = isWritten.has_value() || failure.kind == Failure::Kind::Conflict;
        if (!isStored)
            logEvent(events::auditWriteFailed, "reason=\"" + failure.reason + "\"");
        this->trail.onBatchWritten(isStored);
        this->scheduleWrite();
    });
}

} // namespace lentiljunction
