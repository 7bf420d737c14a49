#include "lentiljunction/execution/TransactionRunner.h"
#include "lentiljunction/core/Json.h"

#include "lentiljunction/core/RendezvousHash.h"
#include "lentiljunction/execution/ResultCodec.h"
#include "lentiljunction/execution/Statement.h"

#include <utility>

namespace lentiljunction {

namespace {

    const std::string uniqueViolation = "23505";
    const std::string undefinedTable = "42P01";
    const std::string readOnlyTransaction = "25006";
    const std::string keyTable = "lentiljunction_keys";
    constexpr int maximumKeyAttempts = 3;
    /// The position of the key's INSERT in its batch, after BEGIN.
    constexpr std::size_t keyRowIndex = 1;

    std::string makeFingerprint(const std::vector<std::string>& statements)
    {
        return std::to_string(stableHash(joinStatements(statements)));
    }

} // namespace

std::string getKeyTableDdl()
{
    return "CREATE TABLE IF NOT EXISTS " + keyTable + " (key TEXT PRIMARY KEY, issued_ms BIGINT NOT NULL, fingerprint TEXT NOT NULL, outcome TEXT NOT NULL)";
}

std::string getKeyPruneSql(std::int64_t olderThan)
{
    return "DELETE FROM " + keyTable + " WHERE issued_ms < " + std::to_string(olderThan);
}

TransactionRunner::TransactionRunner(TransactionPlan plan)
    : plan(std::move(plan))
{
}

TransactionRunner::Step TransactionRunner::start()
{
    const std::string statements = joinStatements(this->plan.statements);
    switch (this->plan.kind) {
    case TransactionPlan::Kind::Read:
        return this->send(Phase::Reading, this->plan.statusSql + ";" + statements);
    case TransactionPlan::Kind::Write:
        if (this->plan.key)
            return this->insertKey();
        return this->send(Phase::Writing, "BEGIN;" + statements + "COMMIT;" + this->plan.statusSql);
    case TransactionPlan::Kind::Begin:
        return this->send(Phase::Interactive, "BEGIN;" + statements);
    case TransactionPlan::Kind::Continue:
        return this->send(Phase::Interactive, statements);
    case TransactionPlan::Kind::Commit:
        return this->send(Phase::Committing, statements + "COMMIT;" + this->plan.statusSql);
    case TransactionPlan::Kind::Rollback:
        return this->rollBack(Outcome::completed({}));
    }
    return this->finish(Outcome::unknown("unknown kind of transaction plan"));
}

TransactionRunner::Step TransactionRunner::onReply(const SqlReply& reply)
{
    if (reply.status == SqlReply::Status::Lost)
        return this->finishLost();

    switch (this->phase) {
    case Phase::Reading:
        return this->onReadReply(reply);
    case Phase::Writing:
        return this->onWriteReply(reply);
    case Phase::InsertingKey:
        return this->onInsertReply(reply);
    case Phase::CommittingKey:
        return this->onCommitReply(reply, 1);
    case Phase::LookingUpKey:
        return this->onLookUpReply(reply);
    case Phase::CreatingKeyTable:
        if (reply.status == SqlReply::Status::Failed)
            return this->rollBack(this->classifyError(reply.error));
        return this->insertKey();
    case Phase::Interactive:
        return this->onInteractiveReply(reply);
    case Phase::Committing:
        return this->onCommitReply(reply, this->plan.statements.size());
    case Phase::RollingBack:
        this->isClean = reply.status == SqlReply::Status::Completed;
        return this->finish(this->pendingOutcome);
    case Phase::Idle:
        break;
    }
    return this->finishLost();
}

TransactionRunner::Step TransactionRunner::send(Phase next, std::string sql)
{
    this->phase = next;
    this->isClean = false;
    Step step;
    step.kind = Step::Kind::Send;
    step.sql = std::move(sql);
    return step;
}

TransactionRunner::Step TransactionRunner::finish(Outcome outcome)
{
    this->phase = Phase::Idle;
    Step step;
    step.kind = Step::Kind::Finish;
    step.outcome = std::move(outcome);
    return step;
}

TransactionRunner::Step TransactionRunner::finishLost()
{
    Phase lostPhase = this->phase;
    this->isClean = false;
    this->isOpen = false;
    if (lostPhase == Phase::RollingBack)
        return this->finish(this->pendingOutcome);

    bool wasCommitting = lostPhase == Phase::Writing || lostPhase == Phase::CommittingKey || lostPhase == Phase::Committing;
    this->inDoubt = wasCommitting || lostPhase == Phase::LookingUpKey || lostPhase == Phase::Reading;
    if (this->inDoubt)
        return this->finish(Outcome::unknown("the connection was lost before the reply arrived"));
    return this->finish(Outcome::notRun(NotRunReason::UpstreamUnavailable, "the connection was lost before a commit was sent"));
}

TransactionRunner::Step TransactionRunner::rollBack(Outcome outcome)
{
    this->pendingOutcome = std::move(outcome);
    this->isOpen = false;
    return this->send(Phase::RollingBack, "ROLLBACK");
}

TransactionRunner::Step TransactionRunner::insertKey()
{
    this->numKeyAttempts++;
    if (this->numKeyAttempts > maximumKeyAttempts) {
        this->inDoubt = true;
        return this->rollBack(Outcome::unknown("another request with the same idempotency key is in progress"));
    }

    const IdempotencyKey& key = *this->plan.key;
    std::string row = "INSERT INTO " + keyTable + " (key, issued_ms, fingerprint, outcome) VALUES (" + quoteLiteral(key.text) + ", "
        + std::to_string(key.issuedAt) + ", " + quoteLiteral(makeFingerprint(this->plan.statements)) + ", '')";
    return this->send(Phase::InsertingKey, "BEGIN;" + row + ";" + joinStatements(this->plan.statements));
}

TransactionRunner::Step TransactionRunner::lookUpKey()
{
    std::string query = "SELECT fingerprint, outcome FROM " + keyTable + " WHERE key = " + quoteLiteral(this->plan.key->text);
    return this->send(Phase::LookingUpKey, "ROLLBACK;" + query + ";" + this->plan.statusSql);
}

TransactionRunner::Step TransactionRunner::onReadReply(const SqlReply& reply)
{
    this->isClean = true;
    Failure failure;
    std::optional<UpstreamStatus> status;
    if (!reply.results.empty())
        status = parseUpstreamStatus(reply.results.front(), failure);
    if (!status) {
        this->isClean = false;
        return this->finish(Outcome::notRun(NotRunReason::UpstreamUnavailable, "the upstream returned no status: " + failure.reason + reply.error.message));
    }

    Coverage coverage = this->plan.requiredPoint ? status->getCoverage(*this->plan.requiredPoint) : Coverage::Covered;
    Step step;
    if (coverage == Coverage::Behind)
        step = this->finish(Outcome::notRun(NotRunReason::ReplicaBehind, "the upstream has not applied the session's last write yet"));
    else if (coverage == Coverage::Diverged)
        step = this->finish(Outcome::notRun(NotRunReason::SessionLost, "the session's last write was lost in a change of primary"));
    else if (reply.status == SqlReply::Status::Failed)
        step = this->finish(Outcome::rejected(reply.error.sqlState, reply.error.message));
    else
        step = this->finish(Outcome::completed({ reply.results.begin() + 1, reply.results.end() }));
    step.status = status;
    return step;
}

TransactionRunner::Step TransactionRunner::onWriteReply(const SqlReply& reply)
{
    if (reply.results.empty())
        return this->rollBack(this->classifyError(reply.error));

    SqlReply withoutBegin = reply;
    withoutBegin.results.erase(withoutBegin.results.begin());
    return this->onCommitReply(withoutBegin, this->plan.statements.size());
}

TransactionRunner::Step TransactionRunner::onInsertReply(const SqlReply& reply)
{
    if (reply.status == SqlReply::Status::Completed) {
        std::vector<ResultSet> results(reply.results.begin() + keyRowIndex + 1, reply.results.end());
        std::string outcome = toJsonText(toJson(results));
        this->pendingOutcome = Outcome::completed(std::move(results));
        std::string update = "UPDATE " + keyTable + " SET outcome = " + quoteLiteral(outcome) + " WHERE key = " + quoteLiteral(this->plan.key->text);
        return this->send(Phase::CommittingKey, update + ";COMMIT;" + this->plan.statusSql);
    }

    bool failedAtKeyRow = reply.results.size() == keyRowIndex;
    if (failedAtKeyRow && reply.error.sqlState == uniqueViolation)
        return this->lookUpKey();
    if (failedAtKeyRow && reply.error.sqlState == undefinedTable && this->numKeyAttempts < maximumKeyAttempts)
        return this->send(Phase::CreatingKeyTable, "ROLLBACK;" + getKeyTableDdl());
    return this->rollBack(this->classifyError(reply.error));
}

TransactionRunner::Step TransactionRunner::onLookUpReply(const SqlReply& reply)
{
    constexpr std::size_t numResults = 3;
    if (reply.status == SqlReply::Status::Failed || reply.results.size() != numResults) {
        this->inDoubt = true;
        return this->finish(Outcome::unknown("the stored outcome of the idempotency key cannot be read"));
    }

    this->isClean = true;
    const ResultSet& rows = reply.results[1];
    if (rows.rows.empty())
        return this->insertKey();

    const std::vector<std::optional<std::string>>& row = rows.rows.front();
    constexpr std::size_t numColumns = 2;
    if (row.size() != numColumns) {
        this->inDoubt = true;
        return this->finish(Outcome::unknown("the stored outcome of the idempotency key cannot be read"));
    }
    if (row[0] != makeFingerprint(this->plan.statements))
        return this->finish(Outcome::notRun(NotRunReason::KeyReused, "the idempotency key was used for other statements"));

    nlohmann::json document = parseJson(row[1].value_or(""));
    std::optional<std::vector<ResultSet>> results = parseResults(document);
    if (!results) {
        this->inDoubt = true;
        return this->finish(Outcome::unknown("the stored outcome of the idempotency key is malformed"));
    }
    return this->confirm(reply.results[2], Outcome::completed(std::move(*results)));
}

TransactionRunner::Step TransactionRunner::onInteractiveReply(const SqlReply& reply)
{
    if (reply.status == SqlReply::Status::Failed)
        return this->rollBack(this->classifyError(reply.error));

    this->isOpen = true;
    std::size_t numSkipped = this->plan.kind == TransactionPlan::Kind::Begin ? 1 : 0;
    return this->finish(Outcome::completed({ reply.results.begin() + static_cast<std::ptrdiff_t>(numSkipped), reply.results.end() }));
}

TransactionRunner::Step TransactionRunner::onCommitReply(const SqlReply& reply, std::size_t commitIndex)
{
    bool isCommitted = reply.results.size() > commitIndex;
    if (!isCommitted)
        return this->rollBack(this->classifyError(reply.error));

    this->isClean = reply.status == SqlReply::Status::Completed;
    this->isOpen = false;
    if (this->phase != Phase::CommittingKey)
        this->pendingOutcome = Outcome::completed({ reply.results.begin(), reply.results.begin() + static_cast<std::ptrdiff_t>(commitIndex) });
    if (reply.status == SqlReply::Status::Failed) {
        this->inDoubt = true;
        return this->finish(Outcome::unknown("the transaction was committed, but the upstream returned no status: " + reply.error.message));
    }
    return this->confirm(reply.results.back(), this->pendingOutcome);
}

TransactionRunner::Step TransactionRunner::confirm(const ResultSet& statusRow, Outcome outcome)
{
    Failure failure;
    std::optional<UpstreamStatus> status = parseUpstreamStatus(statusRow, failure);
    bool isActivePrimary = status && status->isPrimary && status->fencedTerm == status->head.term;
    if (!isActivePrimary) {
        this->inDoubt = true;
        Step step = this->finish(Outcome::unknown("the primary was replaced during the commit"));
        step.status = status;
        return step;
    }

    Step step;
    step.kind = Step::Kind::Confirm;
    step.outcome = std::move(outcome);
    step.point = status->head;
    step.status = status;
    this->phase = Phase::Idle;
    return step;
}

Outcome TransactionRunner::classifyError(const SqlError& error) const
{
    if (error.sqlState == readOnlyTransaction)
        return Outcome::notRun(NotRunReason::NotPrimary, "the upstream is not the primary");
    return Outcome::rejected(error.sqlState, error.message);
}

} // namespace lentiljunction
