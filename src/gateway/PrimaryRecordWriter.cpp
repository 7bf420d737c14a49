#include "PrimaryRecordWriter.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Delay before the record is read after a lost response; allows several round trips to the store.
    constexpr std::chrono::milliseconds readBackDelay { 60 };

} // namespace

PrimaryRecordWriter::PrimaryRecordWriter(FleetStore& store, Scheduler& scheduler, const Clock& clock, const InstanceId& self, Listener& listener)
    : store(store)
    , scheduler(scheduler)
    , clock(clock)
    , self(self)
    , listener(listener)
{
}

void PrimaryRecordWriter::enqueue(Job job)
{
    this->jobs.push_back(std::move(job));
    this->startNext();
}

void PrimaryRecordWriter::setBase(const VersionedPrimaryRecord& versioned)
{
    // Unlike the content, the revision that a write expects is the one in the present era of the store.
    bool isLater = this->base.storeEra == versioned.storeEra ? this->base.revision < versioned.revision : this->base.storeEra < versioned.storeEra;
    if (isLater)
        this->base = versioned;
}

void PrimaryRecordWriter::startNext()
{
    if (this->isBusy || this->jobs.empty())
        return;
    this->isBusy = true;
    this->write();
}

void PrimaryRecordWriter::write()
{
    Job& job = this->jobs.front();
    PrimaryRecord record = this->base.record == nullptr ? PrimaryRecord() : *this->base.record;
    bool isBaseCurrent = this->base.isCurrent() && this->base.storeEra == this->store.getEra();
    if ((job.needsCurrentRecord && !isBaseCurrent) || !job.change(record))
        return this->finish(false);
    // The boot time keeps the nonces of successive processes with the same instance ID apart.
    job.nonce = this->self.toString() + "-" + std::to_string(this->clock.bootNow().time_since_epoch().count()) + "-" + std::to_string(this->nextNonce++);
    record.nonce = job.nonce;
    BootTime sentAt = this->clock.bootNow();
    this->store.writePrimaryRecord(record, this->base.revision, [this, sentAt](const std::optional<VersionedPrimaryRecord>& versioned, const Failure& failure) {
        if (versioned)
            return this->onRecordRead(versioned, sentAt);
        logEvent(events::storeCallFailed, "call=write_lead reason=\"" + failure.reason + "\"");
        this->readBackRecord(failure.kind == Failure::Kind::Conflict ? Duration(0) : Duration(readBackDelay));
    });
}

void PrimaryRecordWriter::readBackRecord(Duration delay)
{
    this->scheduler.schedule(delay, [this] {
        BootTime sentAt = this->clock.bootNow();
        this->store.readPrimaryRecord([this, sentAt](const std::optional<VersionedPrimaryRecord>& versioned, const Failure& failure) {
            if (!versioned && failure.kind == Failure::Kind::NotFound) {
                this->onRecordMissing();
                return this->write();
            }
            if (!versioned)
                return this->readBackRecord(readBackDelay);
            this->onRecordRead(versioned, sentAt);
        });
    });
}

void PrimaryRecordWriter::onRecordRead(const std::optional<VersionedPrimaryRecord>& versioned, BootTime sentAt)
{
    this->setBase(*versioned);
    this->listener.onPrimaryRecord(*versioned, sentAt);
    if (versioned->record->nonce == this->jobs.front().nonce)
        return this->finish(true);
    this->write();
}

void PrimaryRecordWriter::finish(bool isWritten)
{
    Job job = std::move(this->jobs.front());
    this->jobs.pop_front();
    this->isBusy = false;
    job.callback(isWritten, this->clock.bootNow());
    this->startNext();
}

} // namespace lentiljunction
