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

/// The effect of a request on an interactive transaction.
enum class TransactionAction {
    /// The request runs as a transaction of its own.
    None,
    Begin,
    Continue,
    Commit,
    Rollback,
};

/// @returns the action as written in requests; empty for None
std::string toString(TransactionAction action);

/// @returns the action with this name, or nothing
std::optional<TransactionAction> parseTransactionAction(const std::string& text);

/// A validated request of a caller.
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
    /// The time limit for the response.
    std::chrono::milliseconds deadline { 0 };
    /// The greatest staleness of data that the caller accepts.
    std::optional<std::chrono::milliseconds> maximumAge;
    TransactionAction action = TransactionAction::None;
    TransactionId transaction;

    /// @returns whether the request may run on a replica
    bool isRead() const;
};

/// The response to a request.
struct CallerResponse {
    RequestId id;
    Outcome outcome;
    /// The caller's session token after this request.
    std::string session;
    /// The interactive transaction that stays open; empty otherwise.
    TransactionId transaction;
};

} // namespace lentiljunction
