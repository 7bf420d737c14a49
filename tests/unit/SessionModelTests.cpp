#include "lentiljunction/interactive/lj_interactive.h"

#include <rapidcheck.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// The actual state of one connection at the upstream.
struct UpstreamConnectionState {
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
    bool isInTransaction = false;

    void apply(const UpstreamCommand& command)
    {
        switch (command.kind) {
        case UpstreamCommand::Kind::Reset:
            // A reset would roll back the open transaction of the session that holds the connection.
            RC_ASSERT(!this->isInTransaction);
            this->values.clear();
            this->prepared.clear();
            return;
        case UpstreamCommand::Kind::SetValue:
            this->values[command.name] = command.argument;
            return;
        case UpstreamCommand::Kind::Prepare:
            this->prepared[command.name] = { command.mode, command.argument };
            return;
        default:
            RC_FAIL("the preparation of a connection must not run a statement");
        }
    }
};

/// One connection: the context that the proxy recorded and the actual state at the upstream.
struct ModelConnection {
    SessionContext::ConnectionContext recorded;
    UpstreamConnectionState actual;
    /// The session whose open transaction holds the connection.
    std::optional<int> owner;
};

struct ModelSession {
    SessionContext context;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
    std::optional<std::size_t> held;
};

/// Sessions that share connections, where a connection may be lost at any step.
class SharedConnectionModel {
public:
    void runStep()
    {
        int number = *rc::gen::inRange(0, static_cast<int>(this->sessions.size()));
        ModelSession& session = this->sessions[static_cast<std::size_t>(number)];
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            return this->setValue(session);
        case 1:
            return this->prepare(session);
        case 2:
            return this->deallocate(session);
        case 3:
            return this->endTransaction(session);
        default:
            return this->run(number, session, *rc::gen::inRange(0, 3) == 0);
        }
    }

private:
    static std::string generateName(const std::string& prefix) { return prefix + std::to_string(*rc::gen::inRange(0, 3)); }

    void setValue(ModelSession& session)
    {
        std::string name = generateName("v");
        std::string value = generateName("x");
        session.context.setValue(name, value);
        session.values[name] = value;
    }

    void prepare(ModelSession& session)
    {
        std::string name = generateName("p");
        PreparedShape shape { *rc::gen::inRange(0, 2) == 0 ? AccessMode::Read : AccessMode::Write, generateName("shape") };
        session.context.prepare(name, shape);
        session.prepared[name] = shape;
    }

    void deallocate(ModelSession& session)
    {
        std::string name = generateName("p");
        RC_ASSERT(session.context.deallocate(name) == (session.prepared.erase(name) > 0));
    }

    void endTransaction(ModelSession& session)
    {
        if (!session.held)
            return;
        this->connections[*session.held].owner.reset();
        this->connections[*session.held].actual.isInTransaction = false;
        session.held.reset();
    }

    void breakConnection(std::size_t index)
    {
        if (this->connections[index].owner)
            this->sessions[static_cast<std::size_t>(*this->connections[index].owner)].held.reset();
        this->connections[index] = ModelConnection();
    }

    std::optional<std::size_t> chooseConnection(const ModelSession& session) const
    {
        if (session.held)
            return session.held;
        std::vector<std::size_t> free;
        for (std::size_t index = 0; index < this->connections.size(); index++) {
            if (!this->connections[index].owner)
                free.push_back(index);
        }
        if (free.empty())
            return std::nullopt;
        return free[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(free.size())))];
    }

    void run(int number, ModelSession& session, bool isBeginning)
    {
        std::optional<std::size_t> index = this->chooseConnection(session);
        if (!index)
            return;
        ModelConnection& connection = this->connections[*index];
        const PreparedShape* needed = session.context.findPrepared(generateName("p"));
        bool isFirst = !session.held;
        for (const UpstreamCommand& command : session.context.planPreparation(connection.recorded, needed, isFirst)) {
            // The connection may be lost before or after any command; either way it is replaced.
            if (*rc::gen::inRange(0, 12) == 0)
                return this->breakConnection(*index);
            connection.actual.apply(command);
        }
        RC_ASSERT(!connection.owner || *connection.owner == number);
        RC_ASSERT(connection.actual.values == session.values);
        if (needed != nullptr) {
            const PreparedShape& there = connection.actual.prepared.at(SessionContext::getSharedName(*needed));
            RC_ASSERT(there.mode == needed->mode);
            RC_ASSERT(there.shape == needed->shape);
        }
        if (*rc::gen::inRange(0, 12) == 0)
            return this->breakConnection(*index);
        if (isFirst && isBeginning) {
            connection.owner = number;
            connection.actual.isInTransaction = true;
            session.held = index;
        }
    }

    std::vector<ModelSession> sessions = std::vector<ModelSession>(3);
    std::vector<ModelConnection> connections = std::vector<ModelConnection>(2);
};

/// One attempt of a write: its outcome as the proxy sees it, and whether the upstream applied it.
struct Attempt {
    AttemptOutcome outcome;
    /// Whether the write was applied permanently.
    bool isApplied;
};

Attempt generateAttempt()
{
    static const std::vector<Attempt> all {
        { AttemptOutcome::NotSent, false },
        { AttemptOutcome::NotRun, false },
        { AttemptOutcome::Error, false },
        { AttemptOutcome::ErrorOfUpstream, false },
        // A connection is lost before or after the write ran, or a reply is late or lost.
        { AttemptOutcome::ConnectionLost, false },
        { AttemptOutcome::ConnectionLost, true },
        { AttemptOutcome::TimedOut, false },
        { AttemptOutcome::TimedOut, true },
        { AttemptOutcome::Success, true },
        // The write of a replaced primary is rolled back. If only the verification failed, the write is kept.
        { AttemptOutcome::SuccessUnverified, false },
        { AttemptOutcome::SuccessUnverified, true },
    };
    return all[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(all.size())))];
}

bool guaranteesNotApplied(ReplyCode code)
{
    return code != ReplyCode::None && code != ReplyCode::InDoubt && code != ReplyCode::TimedOut;
}

/// Simulates attempts to run one statement until the caller gets a reply.
///
/// @param numApplied incremented for each attempt that was applied
/// @param last set to the outcome of the last attempt
ReplyDecision runStatement(const StatementTraits& statement, int& numApplied, AttemptOutcome& last)
{
    constexpr int maximum = 6;
    for (int attempt = 1;; attempt++) {
        Attempt drawn = generateAttempt();
        numApplied += drawn.isApplied ? 1 : 0;
        last = drawn.outcome;
        ReplyDecision decision = decideReply(statement, drawn.outcome, attempt<maximum&& * rc::gen::inRange(0, 3)> 0);
        if (decision.kind != ReplyDecision::Kind::Retry)
            return decision;
    }
}

} // namespace

TEST_GROUP(SessionModel) {};

// Sessions share connections, which may be lost between any two commands. Guards against a statement that runs
// with values or a prepared statement of another session, or on a connection held by another transaction.
TEST(SessionModel, neverRunsStatementInContextOfAnotherSession)
{
    CHECK(rc::check("sharing connections", [] {
        SharedConnectionModel model;
        int numSteps = *rc::gen::inRange(0, 120);
        for (int runStep = 0; runStep < numSteps; runStep++)
            model.runStep();
    }));
}

// Guards against a write that is applied twice because it was retried after an uncertain outcome, a refusal of a
// write that was applied, and a forwarded success of a write that was not.
TEST(SessionModel, appliesWriteAtMostOnceAndNeverAfterRefusal)
{
    CHECK(rc::check("single writes and commits", [] {
        bool isCommit = *rc::gen::inRange(0, 2) == 0;
        StatementTraits statement { AccessMode::Write, isCommit, isCommit, !isCommit };
        int numApplied = 0;
        AttemptOutcome last = AttemptOutcome::NotSent;
        ReplyDecision decision = runStatement(statement, numApplied, last);
        RC_ASSERT(numApplied <= 1);
        if (decision.kind == ReplyDecision::Kind::Answer && guaranteesNotApplied(decision.code))
            RC_ASSERT(numApplied == 0);
        if (decision.kind == ReplyDecision::Kind::Deliver && last == AttemptOutcome::Success)
            RC_ASSERT(numApplied == 1);
        // Errors and refusals of the upstream itself are forwarded; an unverified success is not.
        if (decision.kind == ReplyDecision::Kind::Deliver)
            RC_ASSERT(last == AttemptOutcome::Success || last == AttemptOutcome::Error || last == AttemptOutcome::ErrorOfUpstream || last == AttemptOutcome::NotRun);
    }));
}

// A begun transaction exists on one connection only. Guards against a later statement that is retried elsewhere
// and against a transaction that stays open for the caller after its connection was lost.
TEST(SessionModel, neverRetriesLaterStatement)
{
    CHECK(rc::check("later statements", [] {
        AccessMode mode = *rc::gen::inRange(0, 2) == 0 ? AccessMode::Read : AccessMode::Write;
        StatementTraits statement { mode, true, *rc::gen::inRange(0, 2) == 0, false };
        Attempt drawn = generateAttempt();
        ReplyDecision decision = decideReply(statement, drawn.outcome, true);
        RC_ASSERT(decision.kind != ReplyDecision::Kind::Retry);
        if (decision.kind == ReplyDecision::Kind::Answer && !statement.isCommit)
            RC_ASSERT(decision.state == TransactionState::Failed);
        if (decision.kind == ReplyDecision::Kind::Answer && statement.isCommit)
            RC_ASSERT(decision.state == TransactionState::Idle);
    }));
}
