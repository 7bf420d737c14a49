#include "AuditWriter.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Collects records of about the same time into one write; AuditTrail limits the rate of further writes.
    constexpr std::chrono::milliseconds writeDelay { 1000 };
    /// With at most one batch in two seconds, these cover a copy that is minutes old.
    constexpr std::size_t maximumKeptBatches = 100;

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
    this->loop.scheduleUntilDone(writeDelay, [this] {
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
    this->store.writeAudit(batch->key, batch->value, [this, written = *batch](const std::optional<bool>& isWritten, const Failure& failure) {
        // After a lost response, the next attempt conflicts with the entry that the lost write created.
        bool isStored = isWritten.has_value() || failure.kind == Failure::Kind::Conflict;
        if (isStored)
            this->lastWritten.push_back(written);
        else
            logEvent(events::auditWriteFailed, "reason=\"" + failure.reason + "\"");
        if (this->lastWritten.size() > maximumKeptBatches)
            this->lastWritten.pop_front();
        this->trail.onBatchWritten(isStored);
        this->scheduleWrite();
    });
}

void AuditWriter::rewriteInNewEra()
{
    if (this->store.getEra() <= this->knownEra)
        return;
    this->knownEra = this->store.getEra();
    bool isRewriting = !this->rewrites.empty();
    this->rewrites.insert(this->rewrites.end(), this->lastWritten.begin(), this->lastWritten.end());
    if (!isRewriting)
        this->rewriteNext();
}

void AuditWriter::rewriteNext()
{
    if (this->rewrites.empty())
        return;
    const AuditTrail::Batch& batch = this->rewrites.front();
    this->store.writeAudit(batch.key, batch.value, [this](const std::optional<bool>& isWritten, const Failure& failure) {
        // A conflict means that the copy contains the batch.
        if (isWritten || failure.kind == Failure::Kind::Conflict) {
            this->rewrites.pop_front();
            return this->rewriteNext();
        }
        logEvent(events::auditWriteFailed, "reason=\"" + failure.reason + "\"");
        this->loop.scheduleUntilDone(writeDelay, [this] { this->rewriteNext(); });
    });
}

} // namespace lentiljunction
