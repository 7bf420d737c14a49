#pragma once

#include "../../standins/database/SqlEngine.h"
#include "lentiljunction/execution/SqlConnection.h"

#include <string>

namespace lentiljunction::tests {

/// The fault to inject into one batch.
enum class BatchFault {
    None,
    /// The connection breaks before the batch arrives.
    LostBefore,
    /// The connection breaks after some statements were executed.
    LostMidway,
    /// The connection breaks after the batch was executed, before its reply arrives.
    LostAfter,
    /// The upstream is fenced before a statement is executed.
    FencedMidway,
};

/// A fault and where to inject it: the index of the batch, and of the statement in the batch.
struct FaultPoint {
    BatchFault fault = BatchFault::None;
    int batch = 0;
    int statement = 0;
};

/// Executes batches synchronously on the SQL engine of the database stand-in, and injects one fault.
class EngineConnection {
public:
    /// @param engine the upstream; must outlive this object
    /// @param point the fault to inject
    EngineConnection(standins::SqlEngine& engine, FaultPoint point);
    ~EngineConnection();

    /// @returns the reply to a batch
    SqlReply execute(const std::string& sql);

    /// @returns whether the fault was injected
    bool wasFaultInjected() const { return this->isFaultInjected; }

private:
    standins::SqlEngine& engine;
    standins::SessionState session;
    FaultPoint point;
    int nextBatch = 0;
    bool isFaultInjected = false;
};

/// @returns an engine that is primary of term 1, with a table bookings (id)
std::unique_ptr<standins::SqlEngine> makePrimaryEngine();

/// @returns the number of bookings with this id
int countBookings(standins::SqlEngine& engine, const std::string& id);

/// The status statement of the engine.
extern const char* const engineStatusSql;

} // namespace lentiljunction::tests
