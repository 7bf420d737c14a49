#pragma once

#include "StatementConnection.h"
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
        virtual void sendCommand(std::uint64_t loan, const std::string& encoded) = 0;
    };

    /// @param loan the number of the loan
    BorrowedConnection(Channel& channel, const SessionProtocol& protocol, std::uint64_t loan, const UpstreamId& upstream);

    void send(const UpstreamCommand& command, ReplyCallback callback) override;
    void sendEncoded(const std::string& encoded, ReplyCallback callback) override;
    const UpstreamId& getUpstream() const override { return this->upstream; }

    /// Passes a reply to the oldest command without one.
    void onReply(SessionReply reply);

    /// Fails all commands without a reply, and all later ones.
    void onLost();

    std::uint64_t getLoan() const { return this->loan; }

    /// @returns whether every command was answered
    bool hasNoPendingReply() const { return this->pending.empty(); }

    bool isLost() const { return this->hasBeenLost; }

    /// @returns whether the connection was reset since it was lent
    bool hasBeenReset() const { return this->wasReset; }

private:
    Channel& channel;
    const SessionProtocol& protocol;
    std::uint64_t loan;
    UpstreamId upstream;
    std::deque<ReplyCallback> pending;
    bool wasReset = false;
    bool hasBeenLost = false;
};

} // namespace lentiljunction
