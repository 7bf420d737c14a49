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

private:
    void write();
    void scheduleWrite();

    EventLoop& loop;
    const Clock& clock;
    FleetStore& store;
    AuditTrail trail;
    bool isScheduled = false;
};

} // namespace lentiljunction
