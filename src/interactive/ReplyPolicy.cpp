#include "lentiljunction/interactive/ReplyPolicy.h"

namespace lentiljunction {

namespace {

    ReplyDecision answer(ReplyCode code, TransactionState state)
    {
        return { ReplyDecision::Kind::Answer, code, state };
    }

    ReplyDecision retryOr(bool mayRetry, ReplyDecision otherwise)
    {
        return mayRetry ? ReplyDecision { ReplyDecision::Kind::Retry, ReplyCode::None, TransactionState::Idle } : otherwise;
    }

    /// The transaction state after a failed statement: a commit ends its transaction even when it fails.
    TransactionState stateAfterFailure(const StatementTraits& statement)
    {
        return statement.isInTransaction && !statement.isCommit ? TransactionState::Failed : TransactionState::Idle;
    }

    /// Whether the change may be committed although no reply confirmed it.
    bool mayHaveCommitted(const StatementTraits& statement)
    {
        return statement.mode == AccessMode::Write && (statement.isCommit || !statement.isInTransaction);
    }

    ReplyDecision decideConnectionLost(const StatementTraits& statement, bool mayRetry)
    {
        if (mayHaveCommitted(statement))
            return answer(ReplyCode::InDoubt, TransactionState::Idle);
        // The upstream rolls back a transaction when its connection is lost.
        if (statement.isInTransaction)
            return answer(ReplyCode::Aborted, stateAfterFailure(statement));
        return retryOr(mayRetry, answer(ReplyCode::Busy, TransactionState::Idle));
    }

    ReplyDecision decideUnverified(const StatementTraits& statement, bool mayRetry)
    {
        if (mayHaveCommitted(statement))
            return answer(ReplyCode::InDoubt, TransactionState::Idle);
        // The replies to these statements contain nothing that another primary could contradict.
        if (statement.isCommit || (statement.isInTransaction && statement.mode == AccessMode::Write))
            return {};
        return decideConnectionLost(statement, mayRetry);
    }

} // namespace

ReplyDecision decideReply(const StatementTraits& statement, AttemptOutcome outcome, bool mayRetry)
{
    // A transaction cannot continue on another connection, so only its first statement can be retried.
    bool isStart = !statement.isInTransaction || statement.isFirst;
    switch (outcome) {
    case AttemptOutcome::Success:
    case AttemptOutcome::Error:
        return {};
    case AttemptOutcome::ErrorOfUpstream:
        return retryOr(mayRetry && !statement.isInTransaction && statement.mode == AccessMode::Read, {});
    case AttemptOutcome::NotSent:
        return retryOr(mayRetry && isStart, answer(ReplyCode::Busy, stateAfterFailure(statement)));
    case AttemptOutcome::NotRun:
        // Within a transaction the state that the upstream reports decides how it continues.
        return isStart ? retryOr(mayRetry, answer(ReplyCode::Busy, stateAfterFailure(statement))) : ReplyDecision {};
    case AttemptOutcome::ConnectionLost:
        return decideConnectionLost(statement, mayRetry);
    case AttemptOutcome::TimedOut:
        if (!statement.isInTransaction && statement.mode == AccessMode::Read)
            return answer(ReplyCode::TimedOut, TransactionState::Idle);
        return decideConnectionLost(statement, false);
    case AttemptOutcome::SuccessUnverified:
        return decideUnverified(statement, mayRetry);
    }
    return answer(ReplyCode::InDoubt, stateAfterFailure(statement));
}

} // namespace lentiljunction
