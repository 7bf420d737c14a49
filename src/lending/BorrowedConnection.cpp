#include "BorrowedConnection.h"

#include <utility>

namespace lentiljunction {

BorrowedConnection::BorrowedConnection(Channel& channel, const SessionProtocol& protocol, std::uint64_t loan, const UpstreamId& upstream)
    : channel(channel)
    , protocol(protocol)
    , loan(loan)
    , upstream(upstream)
{
}

void BorrowedConnection::send(const UpstreamCommand& command, ReplyCallback callback)
{
    this->wasReset = this->wasReset || command.kind == UpstreamCommand::Kind::Reset;
    this->sendToLender(this->protocol.encodeCommand(command), false, std::move(callback));
}

void BorrowedConnection::sendLast(const UpstreamCommand& command, ReplyCallback callback)
{
    this->wasReset = this->wasReset || command.kind == UpstreamCommand::Kind::Reset;
    this->sendToLender(this->protocol.encodeCommand(command), true, std::move(callback));
}

void BorrowedConnection::sendToLender(const std::string& encoded, bool isLast, ReplyCallback callback)
{
    // A command that the protocol cannot carry is not sent.
    if (this->isEnded || encoded.empty())
        return callback(std::nullopt);
    this->pending.push_back(std::move(callback));
    this->channel.sendCommand(*this, encoded, isLast);
}

void BorrowedConnection::onReply(SessionReply reply, bool hasEnded)
{
    if (this->pending.empty())
        return this->onLost();
    this->isEnded = hasEnded;
    ReplyCallback callback = std::move(this->pending.front());
    this->pending.pop_front();
    callback(std::move(reply));
}

void BorrowedConnection::onLost()
{
    this->isEnded = true;
    for (const ReplyCallback& callback : std::exchange(this->pending, {}))
        callback(std::nullopt);
}

} // namespace lentiljunction
