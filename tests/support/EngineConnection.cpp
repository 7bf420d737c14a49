#include "EngineConnection.h"

#include <cstdlib>

namespace lentiljunction::tests {

const char* const engineStatusSql = "SELECT * FROM lentiljunction_status()";

EngineConnection::EngineConnection(standins::SqlEngine& engine, FaultPoint point)
    : engine(engine)
    , point(point)
{
}

EngineConnection::~EngineConnection()
{
    this->engine.abandon(this->session);
}

SqlReply EngineConnection::execute(const std::string& sql)
{
    SqlReply lost;
    bool isFaultBatch = this->point.fault != BatchFault::None && this->nextBatch++ == this->point.batch;
    if (isFaultBatch && this->point.fault == BatchFault::LostBefore) {
        this->isFaultInjected = true;
        this->engine.abandon(this->session);
        return lost;
    }

    SqlReply reply;
    reply.status = SqlReply::Status::Completed;
    int index = 0;
    for (const std::string& statement : standins::splitBatch(sql)) {
        bool isFaultHere = isFaultBatch && index++ == this->point.statement;
        if (isFaultHere && this->point.fault == BatchFault::LostMidway) {
            this->isFaultInjected = true;
            this->engine.abandon(this->session);
            return lost;
        }
        if (isFaultHere && this->point.fault == BatchFault::FencedMidway) {
            this->isFaultInjected = true;
            this->engine.getLog().fence(Term(50));
        }
        standins::StatementResult result = this->engine.execute(this->session, statement);
        if (result.error) {
            reply.status = SqlReply::Status::Failed;
            reply.error = *result.error;
            break;
        }
        reply.results.push_back(result.rows);
    }

    if (isFaultBatch && this->point.fault == BatchFault::LostAfter) {
        this->isFaultInjected = true;
        this->engine.abandon(this->session);
        return lost;
    }
    return reply;
}

std::unique_ptr<standins::SqlEngine> makePrimaryEngine()
{
    std::unique_ptr<standins::SqlEngine> engine = std::make_unique<standins::SqlEngine>(2, std::chrono::microseconds(0));
    engine->getLog().bootstrap(Term(1));
    standins::SessionState session;
    engine->execute(session, "CREATE TABLE bookings (id TEXT)");
    return engine;
}

int countBookings(standins::SqlEngine& engine, const std::string& id)
{
    standins::SessionState session;
    standins::StatementResult result = engine.execute(session, "SELECT count(*) FROM bookings WHERE id = '" + id + "'");
    return std::atoi(result.rows.rows.front().front()->c_str());
}

} // namespace lentiljunction::tests
