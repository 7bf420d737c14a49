#pragma once

#include "../traffic/StatementConnection.h"
#include "lentiljunction/interactive/SessionProtocol.h"

#include <cstdint>
#include <deque>

namespace lentiljunction {

/// A connection to an upstream that another instance lends.
///
/// The lender forwards each command and its complete reply. When the lender or the link to it is lost, the
/// connection is lost: commands without a reply may have run.
///
/// Not thread-safe; the traffic thread owns it.
class BorrowedConnection : public StatementConnection {
public:
    /// Sends commands to the lender.
    class Channel {
    public:
        virtual ~Channel() = default;

        /// @param isLast whether the lender takes the connection back after the reply if no transaction is open
        virtual void sendCommand(const BorrowedConnection& connection, const std::string& encoded, bool isLast) = 0;
    };

    /// @param loan the number of the loan
    BorrowedConnection(Channel& channel, const SessionProtocol& protocol, std::uint64_t loan, const UpstreamId& upstream);

    void send(const UpstreamCommand& command, ReplyCallback callback) override;
    void sendLast(const UpstreamCommand& command, ReplyCallback callback) override;
    void sendEncoded(const std::string& encoded, ReplyCallback callback) override { this->sendToLender(encoded, false, std::move(callback)); }
    const UpstreamId& getUpstream() const override { return this->upstream; }

    /// Passes a reply to the oldest command without one.
    ///
    /// @param hasEnded whether the lender took the connection back
    void onReply(SessionReply reply, bool hasEnded);

    /// Fails all commands without a reply, and all later ones.
    void onLost();

    std::uint64_t getLoan() const { return this->loan; }

    /// @returns whether every command was answered
    bool hasNoPendingReply() const { return this->pending.empty(); }

    /// @returns whether the lender lost the connection or took it back, so that it needs no message about it
    bool hasEnded() const { return this->isEnded; }

    /// @returns whether the connection was reset since it was lent
    bool hasBeenReset() const { return this->wasReset; }

private:
    void sendToLender(const std::string& encoded, bool isLast, ReplyCallback callback);

    Channel& channel;
    const SessionProtocol& protocol;
    std::uint64_t loan;
    UpstreamId upstream;
    std::deque<ReplyCallback> pending;
    bool wasReset = false;
    bool isEnded = false;
};

} // namespace lentiljunction
