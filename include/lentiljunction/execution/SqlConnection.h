#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Outcome.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// An error of the database.
struct SqlError {
    std::string sqlState;
    std::string message;
};

/// What came back for one batch of statements.
struct SqlReply {
    /// How the exchange ended.
    enum class Status {
        /// Every statement completed.
        Completed,
        /// A statement failed; those before it have results.
        Failed,
        /// The connection broke, or the answer did not come in time.
        Lost,
    };

    Status status = Status::Lost;
    /// One per completed statement.
    std::vector<ResultSet> results;
    /// For Failed.
    SqlError error;
    /// For Lost: whether the time ran out, rather than the connection breaking.
    bool isSilent = false;
};

/// A connection to an upstream. Handlers run on the thread of the event loop that owns it.
///
/// @see TransactionRunner
class SqlConnection {
public:
    /// @param isOpen whether the connection is usable
    using OpenHandler = std::function<void(bool isOpen)>;
    using ReplyHandler = std::function<void(const SqlReply& reply)>;

    virtual ~SqlConnection() = default;

    /// Opens the connection.
    ///
    /// @param timeout after which opening fails
    /// @param handler called once
    virtual void open(Duration timeout, OpenHandler handler) = 0;

    /// Sends a batch. Only one may be under way.
    ///
    /// @param sql statements separated by semicolons
    /// @param timeout after which the reply is Lost and the connection is of no more use
    /// @param handler called once
    virtual void execute(const std::string& sql, Duration timeout, ReplyHandler handler) = 0;

    /// Closes the connection; a handler under way is called with Lost.
    virtual void close() = 0;
};

} // namespace lentiljunction
