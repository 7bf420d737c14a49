#pragma once

#include "../net/OneShotTimer.h"
#include "../net/TcpConnection.h"
#include "ReplyMemory.h"
#include "UpstreamConnection.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/interactive/SessionProtocol.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace lentiljunction {

/// A connection to an upstream over TCP.
///
/// The upstream replies to commands in the order in which they were sent; several commands may be in flight.
///
/// Not thread-safe; used on the thread of the event loop. No callback runs after destruction.
class TcpUpstreamConnection : public UpstreamConnection, private TcpConnection::Listener, private ReplyMemory::Receiver {
public:
    /// Starts to open a connection.
    ///
    /// @param user the name under which the connection is opened
    /// @param openTimeout time for the upstream to accept the startup message; then the connection is lost
    /// @param memory accounts for long replies; null where there are none. Must outlive this object and its replies
    TcpUpstreamConnection(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const UpstreamEntry& upstream, std::string user, Duration openTimeout, UpstreamConnection::Listener& listener, ReplyMemory* memory = nullptr);

    ~TcpUpstreamConnection() override;

    void send(const UpstreamCommand& command, ReplyCallback callback) override;
    void sendEncoded(const std::string& encoded, ReplyCallback callback) override;

    void failAsSilent() override { this->fail(LossCause::Silent, "the upstream did not reply in time"); }

    void close() override;
    bool hasNoPendingReply() const override { return this->pendingReplies.empty(); }
    std::optional<TimePoint> getPendingSince() const override;
    std::optional<Answered> getLastAnswered() const override { return this->lastAnswered; }

    const UpstreamId& getUpstream() const override { return this->upstream; }
    bool wasGivenUp() const override { return this->isGivenUp; }

private:
    enum class Stage {
        Opening,
        Ready,
        Lost,
    };

    struct PendingReply {
        ReplyCallback callback;
        TimePoint sentAt;
        /// The number of reads before the command was sent.
        std::uint64_t numReads = 0;
    };

    void onSocketOpened() override;
    void onSocketBytes(std::string& bytes) override;
    void onSocketClosed(const std::string& reason, bool isRefused) override;
    void giveUpReply() override;
    /// Accounts for a reply of which a part was received.
    void accountReply(std::size_t numUnparsed);
    /// @returns whether the bytes of the present read can belong to a reply
    bool isReplyExpected() const;
    void onReply(SessionReply reply);
    void fail(LossCause cause, const std::string& reason);

    const Clock& clock;
    const SessionProtocol& protocol;
    UpstreamId upstream;
    GroupId group;
    std::string user;
    UpstreamConnection::Listener& listener;
    Stage stage = Stage::Opening;
    std::unique_ptr<TcpConnection> socket;
    ReplyMemory* memory;
    std::unique_ptr<OneShotTimer> openTimer;
    std::deque<PendingReply> pendingReplies;
    std::optional<Answered> lastAnswered;
    /// How often bytes were received.
    std::uint64_t numReads = 0;
    /// Bytes received of an incomplete reply.
    std::size_t numBufferedBytes = 0;
    /// The number of these bytes in which no part of the reply ends.
    std::size_t numSearched = 0;
    /// Bytes received of the parts in partialReply.
    std::size_t numReplyBytes = 0;
    SessionReply partialReply;
    /// Null as long as the reply is short.
    std::shared_ptr<ReplyMemory::Receipt> receipt;
    bool isGivenUp = false;
    bool isAccepted = false;
    /// Lets a method detect that a callback destroyed this object.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace lentiljunction
