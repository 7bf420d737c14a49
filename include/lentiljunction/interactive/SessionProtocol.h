#pragma once

#include "lentiljunction/core/Failure.h"
#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/interactive/SessionReply.h"
#include "lentiljunction/interactive/SessionStatement.h"
#include "lentiljunction/interactive/UpstreamCommand.h"

#include <optional>
#include <string>
#include <variant>

namespace lentiljunction {

/// The first message of a caller's session.
struct SessionStartup {
    DatabaseId database;
    CallerId caller;
};

/// The last message of a caller's session.
struct SessionEnd {
};

/// Any message of a caller.
using CallerMessage = std::variant<SessionStartup, SessionStatement, SessionEnd>;

/// Encodes and decodes the wire protocol of callers and upstreams.
///
/// Stateless; one object serves all connections. Thread-safe.
///
/// @see CallerSession, UpstreamConnection
class SessionProtocol {
public:
    virtual ~SessionProtocol() = default;

    /// Removes the next complete message from a buffer of received bytes.
    ///
    /// @param buffer the received bytes; the decoded message is removed
    /// @param numSearched the number of bytes at the beginning of the buffer in which no message ends; updated. Without it a
    ///     long message would be searched anew for each piece that arrives
    /// @param failure set when the bytes are malformed; the connection cannot be used any more
    /// @returns the message, or nothing when more bytes are needed or on a failure
    virtual std::optional<CallerMessage> takeCallerMessage(std::string& buffer, std::size_t& numSearched, Failure& failure) const = 0;

    /// Removes one part of an upstream's reply, such as a row, from a buffer.
    ///
    /// @param numSearched as for takeCallerMessage()
    /// @param reply collects the parts of one reply
    /// @param isComplete set when the reply is complete
    /// @returns whether a part was removed; false when more bytes are needed or on a failure
    virtual bool takeUpstreamPart(std::string& buffer, std::size_t& numSearched, SessionReply& reply, bool& isComplete, Failure& failure) const = 0;

    /// Decodes the row of the reply to UpstreamCommand::Kind::Status.
    ///
    /// @returns nothing when the row is malformed
    virtual std::optional<ReplicationStatus> decodeReplicationStatus(const std::string& row) const = 0;

    /// @returns the bytes of a complete reply to a caller
    virtual std::string encodeReply(const SessionReply& reply) const = 0;

    /// @returns the bytes that tell a caller that its session is open
    virtual std::string encodeSessionReady() const = 0;

    /// @returns the bytes of an error that refuses a session
    virtual std::string encodeSessionRefused(ReplyCode code, const std::string& message) const = 0;

    /// @param user the name under which the connection is opened; the upstream accepts any without blanks
    /// @returns the bytes of the startup message to one upstream of a group
    virtual std::string encodeUpstreamStartup(const GroupId& group, const std::string& user, const UpstreamId& upstream) const = 0;

    /// @returns the bytes of one command; none when the protocol cannot carry it, for example the statement of a caller
    ///     without an id, or one that is too long
    virtual std::string encodeCommand(const UpstreamCommand& command) const = 0;
};

} // namespace lentiljunction
