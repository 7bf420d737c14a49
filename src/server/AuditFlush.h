#pragma once

#include "../store/StoreWorker.h"
#include "lentiljunction/audit/AuditTrail.h"
#include "lentiljunction/core/EventLoop.h"

namespace lentiljunction {

/// Writes the next batch of an audit trail into the store, if one is due.
///
/// Call it on the control thread, where the result is also processed. All arguments must outlive the
/// write.
void flushAudit(AuditTrail& audit, StoreWorker& worker, EventLoop& loop, const Clock& clock);

} // namespace lentiljunction
