#pragma once

#include "lentiljunction/interactive/SessionContext.h"
#include "lentiljunction/interactive/SessionReply.h"
#include "lentiljunction/interactive/UpstreamCommand.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace lentiljunction {

/// A connection on which statements reach one upstream: a connection of this instance, or one that another
/// instance lends.
///
/// Not thread-safe; the traffic thread owns it.
///
/// @see ConnectionSource
class StatementConnection {
public:
    /// @param reply empty when the connection was lost before the complete reply arrived
    using ReplyCallback = std::function<void(std::optional<SessionReply> reply)>;

    virtual ~StatementConnection() = default;

    /// Sends a command. Commands are answered in the order in which they were sent. On a lost connection the
    /// callback runs immediately, without a reply.
    virtual void send(const UpstreamCommand& command, ReplyCallback callback) = 0;

    /// Sends a command after whose reply the connection is given back or closed, unless a transaction is open then. A
    /// lender takes the connection back without being told.
    virtual void sendLast(const UpstreamCommand& command, ReplyCallback callback) { this->send(command, std::move(callback)); }

    /// Sends the encoded bytes of one command, as send() does.
    virtual void sendEncoded(const std::string& encoded, ReplyCallback callback) = 0;

    virtual const UpstreamId& getUpstream() const = 0;

    /// @returns whether the connection was lost because this process had no memory for a reply, which says nothing of the
    ///     upstream
    virtual bool wasGivenUp() const { return false; }

    /// Session values and prepared statements that earlier sessions left on the connection.
    SessionContext::ConnectionContext context;
};

} // namespace lentiljunction
