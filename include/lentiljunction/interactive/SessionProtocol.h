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

/// Whatever a caller sends.
using CallerMessage = std::variant<SessionStartup, SessionStatement, SessionEnd>;

/// The bytes that callers and upstreams speak, behind the product's own types.
///
/// One object serves all connections; it keeps no state. Safe to call from any thread.
///
/// @see SessionFlow, UpstreamConnection
class SessionProtocol {
public:
    virtual ~SessionProtocol() = default;

    /// Takes the next whole message off a buffer of received bytes.
    ///
    /// @param buffer the bytes; a message that was taken is removed
    /// @param failure filled when the bytes cannot be read; the connection is then of no use
    /// @returns the message, or nothing when more bytes are needed or on a failure
    virtual std::optional<CallerMessage> takeCallerMessage(std::string& buffer, Failure& failure) const = 0;

    /// Takes one part of an upstream's answer off a buffer.
    ///
    /// @param reply collects the parts of one answer
    /// @param isComplete set when the answer is whole
    /// @returns whether a part was taken; false when more bytes are needed or on a failure
    virtual bool takeUpstreamPart(std::string& buffer, SessionReply& reply, bool& isComplete, Failure& failure) const = 0;

    /// Reads the row with which an upstream answers UpstreamCommand::Kind::Status.
    ///
    /// @returns nothing when the row is malformed
    virtual std::optional<ReplicationStatus> decodeReplicationStatus(const std::string& row) const = 0;

    /// @returns the bytes of a whole answer to a caller
    virtual std::string encodeReply(const SessionReply& reply) const = 0;

    /// @returns the bytes that tell a caller that its session is open
    virtual std::string encodeSessionReady() const = 0;

    /// @returns the bytes of an error before a session is open
    virtual std::string encodeSessionRefused(ReplyCode code, const std::string& message) const = 0;

    /// @returns the bytes that open a connection to one upstream of a group
    virtual std::string encodeUpstreamStartup(const GroupId& group, const InstanceId& self, const UpstreamId& upstream) const = 0;

    /// @returns the bytes of one command
    virtual std::string encodeCommand(const UpstreamCommand& command) const = 0;
};

} // namespace lentiljunction
