#include "../../src/gateway/PrimaryRecordWriter.h"
#include "../support/QueuedFleetStore.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// Runs each task at once.
class ImmediateScheduler : public Scheduler {
public:
    void post(Task task) override { task(); }
    void schedule(Duration, Task task) override { task(); }
};

/// Holds the primary record and answers at once.
class RecordStore : public QueuedFleetStore {
public:
    StoreEra getEra() const override { return this->era; }

    void readPrimaryRecord(Callback<VersionedPrimaryRecord> callback) override
    {
        if (this->record)
            return callback(VersionedPrimaryRecord { this->record, this->revision, this->era }, Failure());
        Failure missing;
        missing.set(Failure::Kind::NotFound, "no record");
        callback(std::nullopt, missing);
    }

    void writePrimaryRecord(const PrimaryRecord& newer, StoreVersion expected, Callback<VersionedPrimaryRecord> callback) override
    {
        this->numWrites++;
        StoreVersion present = this->record ? this->revision : StoreVersion();
        if (expected != present) {
            Failure conflict;
            conflict.set(Failure::Kind::Conflict, "another revision");
            return callback(std::nullopt, conflict);
        }
        this->record = std::make_shared<PrimaryRecord>(newer);
        this->revision = this->revision.next();
        callback(VersionedPrimaryRecord { this->record, this->revision, this->era }, Failure());
    }

    std::shared_ptr<const PrimaryRecord> record;
    StoreVersion revision { 1 };
    StoreEra era { 1 };
    int numWrites = 0;
};

} // namespace

TEST_GROUP(PrimaryRecordWriter), PrimaryRecordWriter::Listener
{
    RecordStore store;
    ImmediateScheduler scheduler;
    ManualClock clock;
    PrimaryRecordWriter writer { store, scheduler, clock, InstanceId("one"), *this };

    void onPrimaryRecord(const VersionedPrimaryRecord&, BootTime) override { }

    /// Lets the writer know a record of era 1, and restores the store from a copy that is older.
    void restoreStore(bool hasRecord)
    {
        std::shared_ptr<PrimaryRecord> record = std::make_shared<PrimaryRecord>();
        record->era = StoreEra(1);
        this->writer.setBase({ record, StoreVersion(40), StoreEra(1) });
        this->store.record = hasRecord ? record : nullptr;
        this->store.revision = StoreVersion(22);
        this->store.era = StoreEra(2);
    }

    PrimaryRecordWriter::Change setCoordinator()
    {
        return [](PrimaryRecord& record) {
            record.coordinator = InstanceId("one");
            return true;
        };
    }
};

// The revision of the lost record never returns, so a write that expects it must not be repeated.
TEST(PrimaryRecordWriter, changeOfLostRecordIsGivenUp)
{
    restoreStore(true);
    std::optional<bool> written;
    writer.submit(setCoordinator(), [&](bool isWritten, BootTime) { written = isWritten; });
    CHECK(written == false);
    CHECK_TRUE(store.numWrites <= 1);
}

// The restored record is replaced on condition of the revision that it has now.
TEST(PrimaryRecordWriter, recoveryReplacesRestoredRecord)
{
    restoreStore(true);
    std::optional<bool> written;
    writer.submitRecovery(setCoordinator(), [&](bool isWritten, BootTime) { written = isWritten; });
    CHECK(written == true);
    CHECK_TRUE(store.record->coordinator == InstanceId("one"));
}

// A store that was restored from before the record was created must get a new one.
TEST(PrimaryRecordWriter, recoveryCreatesMissingRecord)
{
    restoreStore(false);
    std::optional<bool> written;
    writer.submitRecovery(setCoordinator(), [&](bool isWritten, BootTime) { written = isWritten; });
    CHECK(written == true);
    CHECK_TRUE(store.record != nullptr);
}
