#include "lentiljunction/interactive/ReplyPolicy.h"

namespace lentiljunction {

namespace {

    ReplyVerdict answer(ReplyCode code, TransactionState state)
    {
        return { ReplyVerdict::Kind::Answer, code, state };
    }

    ReplyVerdict retryOr(bool mayRetry, ReplyVerdict otherwise)
    {
        return mayRetry ? ReplyVerdict { ReplyVerdict::Kind::Retry, ReplyCode::None, TransactionState::Idle } : otherwise;
    }

    /// The state after a statement that failed here: a commit ends its transaction, whatever becomes of it.
    TransactionState stateAfterFailure(const StatementCase& statement)
    {
        return statement.isInTransaction && !statement.isCommit ? TransactionState::Failed : TransactionState::Idle;
    }

    /// Whether the change may stand although no answer said so.
    bool mayBeKept(const StatementCase& statement)
    {
        return statement.mode == AccessMode::Write && (statement.isCommit || !statement.isInTransaction);
    }

    ReplyVerdict decideLost(const StatementCase& statement, bool mayRetry)
    {
        if (mayBeKept(statement))
            return answer(ReplyCode::InDoubt, TransactionState::Idle);
        // The upstream rolls back a transaction whose connection is gone.
        if (statement.isInTransaction)
            return answer(ReplyCode::Aborted, stateAfterFailure(statement));
        return retryOr(mayRetry, answer(ReplyCode::Busy, TransactionState::Idle));
    }

    ReplyVerdict decideUnproved(const StatementCase& statement, bool mayRetry)
    {
        if (mayBeKept(statement))
            return answer(ReplyCode::InDoubt, TransactionState::Idle);
        // Neither tells the caller anything that another primary could contradict.
        if (statement.isCommit || (statement.isInTransaction && statement.mode == AccessMode::Write))
            return {};
        return decideLost(statement, mayRetry);
    }

} // namespace

ReplyVerdict decideReply(const StatementCase& statement, AttemptEvent event, bool mayRetry)
{
    bool isStart = !statement.isInTransaction || statement.isFirst;
    switch (event) {
    case AttemptEvent::Success:
    case AttemptEvent::Error:
        return {};
    case AttemptEvent::NotSent:
        return retryOr(mayRetry && isStart, answer(ReplyCode::Busy, stateAfterFailure(statement)));
    case AttemptEvent::NotRun:
        // Within a transaction the upstream's own state decides how it goes on.
        return isStart ? retryOr(mayRetry, answer(ReplyCode::Busy, stateAfterFailure(statement))) : ReplyVerdict {};
    case AttemptEvent::LinkLost:
        return decideLost(statement, mayRetry);
    case AttemptEvent::TimedOut:
        if (!statement.isInTransaction && statement.mode == AccessMode::Read)
            return answer(ReplyCode::TimedOut, TransactionState::Idle);
        return decideLost(statement, false);
    case AttemptEvent::SuccessUnproved:
        return decideUnproved(statement, mayRetry);
    }
    return answer(ReplyCode::InDoubt, stateAfterFailure(statement));
}

} // namespace lentiljunction
