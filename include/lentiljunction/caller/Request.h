#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Outcome.h"
#include "lentiljunction/core/Rank.h"
#include "lentiljunction/execution/TransactionRunner.h"
#include "lentiljunction/session/SessionToken.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// What a request does with an interactive transaction.
enum class TransactionAction {
    /// The request is a whole transaction of its own.
    None,
    Begin,
    Continue,
    Commit,
    Rollback,
};

/// @returns the action as written in requests; empty for None
std::string toString(TransactionAction action);

/// @returns the action of a name, or nothing
std::optional<TransactionAction> parseTransactionAction(const std::string& text);

/// A caller's request, checked.
///
/// @see parseRequest
struct Request {
    RequestId id;
    CallerId caller;
    DatabaseId database;
    Rank rank = Rank::Normal;
    std::vector<std::string> statements;
    std::optional<IdempotencyKey> key;
    SessionToken session;
    /// How long the caller waits.
    std::chrono::milliseconds deadline { 0 };
    /// The age of data that the caller accepts.
    std::optional<std::chrono::milliseconds> maximumAge;
    TransactionAction action = TransactionAction::None;
    TransactionId transaction;

    /// @returns whether the request may run on a replica
    bool isRead() const;
};

/// The answer to a request.
struct CallerResponse {
    RequestId id;
    Outcome outcome;
    /// The caller's token after this request.
    std::string session;
    /// The interactive transaction that stays open; empty otherwise.
    TransactionId transaction;
};

} // namespace lentiljunction
