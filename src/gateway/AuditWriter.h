#pragma once

#include "lentiljunction/audit/AuditTrail.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/fleet/FleetStore.h"

namespace lentiljunction {

/// Writes the audit trail of this instance to the store, and retries until the store accepts it.
///
/// Not thread-safe; the control thread owns it.
///
/// @see AuditTrail
class AuditWriter {
public:
    /// All must outlive this object.
    AuditWriter(EventLoop& loop, const Clock& clock, FleetStore& store, const InstanceId& self);

    /// Records a change.
    void add(AuditRecord record);

    /// Writes the last records again if the store was restored from an older copy, which may have lost them. Call it after
    /// a response of the store.
    void rewriteInNewEra();

private:
    void write();
    void scheduleWrite();
    void rewriteNext();

    EventLoop& loop;
    const Clock& clock;
    FleetStore& store;
    AuditTrail trail;
    bool isScheduled = false;
    /// The newest era of the store that this object knows.
    StoreEra knownEra;
    std::deque<AuditTrail::Batch> lastWritten;
    /// Batches to write again.
    std::deque<AuditTrail::Batch> rewrites;
};

} // namespace lentiljunction
