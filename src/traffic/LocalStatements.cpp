#include "LocalStatements.h"

namespace lentiljunction {

std::optional<SessionReply> answerLocally(SessionContext& context, const SessionStatement& statement, TransactionState state)
{
    SessionReply answer;
    answer.state = state;
    switch (statement.verb) {
    case SessionVerb::SetValue:
        context.setValue(statement.name, statement.argument);
        return answer;
    case SessionVerb::Prepare:
        context.prepare(statement.name, { statement.mode, statement.argument });
        return answer;
    case SessionVerb::Deallocate:
        if (!context.deallocate(statement.name))
            answer.code = ReplyCode::NoSuchStatement;
        answer.message = statement.name;
        return answer;
    default:
        return std::nullopt;
    }
}

std::optional<AccessMode> findMode(const SessionContext& context, const SessionStatement& statement, bool hasTransactionWritten)
{
    if (statement.verb == SessionVerb::Read)
        return AccessMode::Read;
    if (statement.verb == SessionVerb::Write)
        return AccessMode::Write;
    if (statement.verb == SessionVerb::Commit)
        return hasTransactionWritten ? AccessMode::Write : AccessMode::Read;
    const PreparedShape* shape = context.findPrepared(statement.name);
    if (shape == nullptr)
        return std::nullopt;
    return shape->mode;
}

} // namespace lentiljunction
