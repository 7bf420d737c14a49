#pragma once

#include "../net/OneShotTimer.h"
#include "../net/TcpConnection.h"
#include "StatementConnection.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/interactive/SessionProtocol.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <deque>
#include <memory>
#include <optional>

namespace lentiljunction {

/// One connection to an upstream.
///
/// The upstream replies to commands in the order in which they were sent; several commands may be in flight.
///
/// Not thread-safe; used on the thread of the event loop. No callback runs after destruction.
class UpstreamConnection : public StatementConnection, private TcpConnection::Listener {
public:
    /// Why a connection was lost.
    enum class LossCause {
        /// The address refuses connections.
        Refused,
        /// The upstream did not reply in time, or the network closed the connection.
        Silent,
        /// The upstream has reached its connection limit.
        Full,
        /// Another upstream answers at the address.
        WrongUpstream,
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

    /// Starts to open a connection.
    ///
    /// @param openTimeout time for the upstream to accept the startup message; then the connection is lost
    UpstreamConnection(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const UpstreamEntry& upstream, const InstanceId& self, Duration openTimeout, Listener& listener);

    ~UpstreamConnection() override;

    void send(const UpstreamCommand& command, ReplyCallback callback) override;
    void sendEncoded(const std::string& encoded, ReplyCallback callback) override;

    /// Fails the connection with LossCause::Silent; pending callbacks receive no reply.
    void failAsSilent() { this->fail(LossCause::Silent, "the upstream did not reply in time"); }

    /// Closes the connection immediately. No further callback runs.
    void close();

    /// @returns whether the upstream accepted the startup message
    bool isReady() const { return this->stage == Stage::Ready; }

    /// @returns whether every command was answered
    bool hasNoPendingReply() const { return this->pendingReplies.empty(); }

    /// @returns when the oldest unanswered command was sent, or nothing when all were answered
    std::optional<TimePoint> getPendingSince() const;

    const UpstreamId& getUpstream() const override { return this->upstream; }

private:
    enum class Stage {
        Opening,
        Ready,
        Lost,
    };

    struct PendingReply {
        ReplyCallback callback;
        TimePoint sentAt;
    };

    void onSocketOpened() override;
    void onSocketBytes(std::string& bytes) override;
    void onSocketClosed(const std::string& reason, bool isRefused) override;
    void onReply(SessionReply reply);
    void fail(LossCause cause, const std::string& reason);

    const Clock& clock;
    const SessionProtocol& protocol;
    UpstreamId upstream;
    GroupId group;
    InstanceId self;
    Listener& listener;
    Stage stage = Stage::Opening;
    std::unique_ptr<TcpConnection> socket;
    std::unique_ptr<OneShotTimer> openTimer;
    std::deque<PendingReply> pendingReplies;
    /// Bytes received of an incomplete reply.
    std::size_t numBufferedBytes = 0;
    SessionReply partialReply;
    /// Lets a method detect that a callback destroyed this object.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace lentiljunction
