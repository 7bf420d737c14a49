#pragma once

#include "StatementConnection.h"
#include "lentiljunction/core/Clock.h"

#include <optional>
#include <string>

namespace lentiljunction {

/// One connection of this instance to an upstream.
///
/// @see TcpUpstreamConnection
class UpstreamConnection : public StatementConnection {
public:
    /// Why a connection was lost.
    enum class LossCause {
        /// The address refuses connections.
        Refused,
        /// The upstream did not reply in time, or the network closed the connection.
        Silent,
        /// The upstream accepted the connection and did not answer the startup message in time: its process may run with all its
        /// slots occupied.
        Unanswered,
        /// The upstream has reached its connection limit.
        Full,
        /// Another upstream answers at the address.
        WrongUpstream,
        /// A long reply was given up, since this process has no memory for it.
        NoMemory,
    };

    /// Receives the events of a connection.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onConnectionReady(UpstreamConnection& connection) = 0;

        /// Bytes were sent or received.
        virtual void onConnectionBytes(std::size_t number) = 0;

        /// The connection was lost. Its pending reply callbacks have run.
        virtual void onConnectionLost(UpstreamConnection& connection, LossCause cause, const std::string& reason) = 0;
    };

    /// A command that was answered.
    struct Answered {
        TimePoint sentAt;
        /// From sending it to its answer.
        Duration took { 0 };
    };

    /// Fails the connection with LossCause::Silent; pending callbacks receive no reply.
    virtual void failAsSilent() = 0;

    /// Closes the connection immediately. No further callback runs.
    virtual void close() = 0;

    /// @returns whether every command was answered
    virtual bool hasNoPendingReply() const = 0;

    /// @returns when the oldest unanswered command was sent, or nothing when all were answered
    virtual std::optional<TimePoint> getPendingSince() const = 0;

    /// @returns the command that was answered last, or nothing when it is not known
    virtual std::optional<Answered> getLastAnswered() const { return std::nullopt; }
};

} // namespace lentiljunction
