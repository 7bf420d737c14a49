#pragma once

#include "../../standins/database/SqlEngine.h"
#include "lentiljunction/execution/SqlConnection.h"

#include <string>

namespace lentiljunction::tests {

/// What goes wrong with one batch.
enum class BatchFault {
    None,
    /// The batch does not arrive.
    LostBefore,
    /// The connection breaks after some statements ran.
    LostMidway,
    /// The batch ran, its answer does not arrive.
    LostAfter,
    /// The upstream is fenced before a statement runs.
    FencedMidway,
};

/// A fault at a step: the batch counted from zero, and the statement within it.
struct FaultPoint {
    BatchFault fault = BatchFault::None;
    int batch = 0;
    int statement = 0;
};

/// Runs batches at once at a real SQL engine and puts one fault between.
class EngineConnection {
public:
    /// @param engine the upstream; must outlive this object
    /// @param point where the fault stands
    EngineConnection(standins::SqlEngine& engine, FaultPoint point);
    ~EngineConnection();

    /// @returns what comes back for a batch
    SqlReply execute(const std::string& sql);

    /// @returns whether the fault took place
    bool wasFaultInjected() const { return this->isFaultDone; }

private:
    standins::SqlEngine& engine;
    standins::SessionState session;
    FaultPoint point;
    int nextBatch = 0;
    bool isFaultDone = false;
};

/// @returns an engine that is primary of term 1, with a table bookings (id)
std::unique_ptr<standins::SqlEngine> makePrimaryEngine();

/// @returns how often a booking stands in the engine
int countBookings(standins::SqlEngine& engine, const std::string& id);

/// The status statement of the engine.
extern const char* const engineStatusSql;

} // namespace lentiljunction::tests
