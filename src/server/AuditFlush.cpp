#include "AuditFlush.h"

#include "../store/StoreDocuments.h"
#include "lentiljunction/core/LogEvents.h"

namespace lentiljunction {

void flushAudit(AuditTrail& audit, StoreWorker& worker, EventLoop& loop, const Clock& clock)
{
    std::optional<AuditTrail::Batch> batch = audit.makeBatch(clock.now(), clock.wallNow());
    if (!batch)
        return;

    worker.submit([&audit, &loop, batch](PlatformStore& store) {
        Failure failure;
        bool isWritten = putOnce(store, batch->key, batch->value, failure);
        loop.post([&audit, isWritten, failure] {
            if (!isWritten)
                logEvent(events::auditWriteFailed, "reason=\"" + failure.reason + "\"");
            audit.onBatchWritten(isWritten);
        });
    });
}

} // namespace lentiljunction
