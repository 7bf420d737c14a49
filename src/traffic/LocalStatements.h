#pragma once

#include "lentiljunction/interactive/SessionContext.h"
#include "lentiljunction/interactive/SessionReply.h"

#include <optional>

namespace lentiljunction {

/// Answers a statement that needs no upstream: it sets a value, or adds or removes a prepared statement.
///
/// @param state the transaction state of the session, which the statement does not change
/// @returns the reply, or nothing when the statement needs an upstream
std::optional<SessionReply> answerLocally(SessionContext& context, const SessionStatement& statement, TransactionState state);

/// @param hasTransactionWritten whether a statement of the open transaction wrote
/// @returns whether a statement may write, or nothing when no statement is prepared under its name
std::optional<AccessMode> findMode(const SessionContext& context, const SessionStatement& statement, bool hasTransactionWritten);

} // namespace lentiljunction
