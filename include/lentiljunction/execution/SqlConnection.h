#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Outcome.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// An error that the database reported.
struct SqlError {
    std::string sqlState;
    std::string message;
};

/// The reply to one batch of statements.
struct SqlReply {
    /// How the exchange ended.
    enum class Status {
        /// Every statement completed.
        Completed,
        /// A statement failed; those before it have results.
        Failed,
        /// The connection broke, or the reply timed out.
        Lost,
    };

    Status status = Status::Lost;
    /// One result set per completed statement.
    std::vector<ResultSet> results;
    /// For Failed.
    SqlError error;
    /// For Lost: whether the reply timed out while the connection was still open.
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

    /// Sends a batch. Only one batch may be in progress.
    ///
    /// @param sql statements separated by semicolons
    /// @param timeout after which the reply is Lost and the connection is unusable
    /// @param handler called once
    virtual void execute(const std::string& sql, Duration timeout, ReplyHandler handler) = 0;

    /// Closes the connection; a pending handler is called with Lost.
    virtual void close() = 0;
};

} // namespace lentiljunction
