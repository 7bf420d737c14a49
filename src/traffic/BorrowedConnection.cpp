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
    this->sendEncoded(this->protocol.encodeCommand(command), std::move(callback));
}

void BorrowedConnection::sendEncoded(const std::string& encoded, ReplyCallback callback)
{
    if (this->hasBeenLost)
        return callback(std::nullopt);
    this->pending.push_back(std::move(callback));
    this->channel.sendCommand(this->loan, encoded);
}

void BorrowedConnection::onReply(SessionReply reply)
{
    if (this->pending.empty())
        return this->onLost();
    ReplyCallback callback = std::move(this->pending.front());
    this->pending.pop_front();
    callback(std::move(reply));
}

void BorrowedConnection::onLost()
{
    this->hasBeenLost = true;
    for (const ReplyCallback& callback : std::exchange(this->pending, {}))
        callback(std::nullopt);
}

} // namespace lentiljunction
