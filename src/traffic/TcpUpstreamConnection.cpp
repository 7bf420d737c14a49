#include "TcpUpstreamConnection.h"

#include "lentiljunction/core/HandlerGuard.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Rows are held back until the reply is complete; a longer reply fails. A caller's connection takes no longer one.
    constexpr std::size_t maximumReplyBytes = 4U << 20;
    /// Short rows take more memory than their bytes.
    constexpr std::size_t maximumReplyRows = 400000;
    /// Most replies are shorter, and complete with one read.
    constexpr std::size_t minimumAccounted = 16U << 10;

} // namespace

TcpUpstreamConnection::TcpUpstreamConnection(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const UpstreamEntry& upstream, std::string user, Duration openTimeout, UpstreamConnection::Listener& listener, ReplyMemory* memory)
    : clock(clock)
    , protocol(protocol)
    , upstream(upstream.id)
    , group(upstream.group)
    , user(std::move(user))
    , listener(listener)
    , socket(TcpConnection::connect(loop, upstream.endpoint, *this))
    , memory(memory)
    , openTimer(std::make_unique<OneShotTimer>(loop, clock, [this] { this->fail(this->isAccepted ? LossCause::Unanswered : LossCause::Silent, "the upstream did not answer the startup message in time"); }))
{
    this->openTimer->setTime(clock.now() + openTimeout);
}

TcpUpstreamConnection::~TcpUpstreamConnection()
{
    *this->isAlive = false;
}

void TcpUpstreamConnection::send(const UpstreamCommand& command, ReplyCallback callback)
{
    this->sendEncoded(this->protocol.encodeCommand(command), std::move(callback));
}

void TcpUpstreamConnection::sendEncoded(const std::string& encoded, ReplyCallback callback)
{
    // A command that the protocol cannot carry is not sent.
    if (this->stage == Stage::Lost || encoded.empty())
        return callback(std::nullopt);
    this->pendingReplies.push_back({ std::move(callback), this->clock.now(), this->numReads });
    this->listener.onConnectionBytes(encoded.size());
    this->socket->send(encoded);
}

void TcpUpstreamConnection::close()
{
    this->stage = Stage::Lost;
    *this->isAlive = false;
    this->isAlive = std::make_shared<bool>(true);
    this->pendingReplies.clear();
    this->receipt.reset();
    this->openTimer->clear();
    this->socket->close();
}

std::optional<TimePoint> TcpUpstreamConnection::getPendingSince() const
{
    if (this->pendingReplies.empty())
        return std::nullopt;
    return this->pendingReplies.front().sentAt;
}

void TcpUpstreamConnection::onSocketOpened()
{
    this->isAccepted = true;
    this->socket->send(this->protocol.encodeUpstreamStartup(this->group, this->user, this->upstream));
}

void TcpUpstreamConnection::onSocketBytes(std::string& bytes)
{
    std::shared_ptr<bool> alive = this->isAlive;
    Failure failure;
    bool isComplete = false;
    // The bytes of an incomplete reply were counted when they arrived.
    this->listener.onConnectionBytes(bytes.size() - std::min(bytes.size(), this->numBufferedBytes));
    std::size_t numBytesLeft = bytes.size();
    this->numReads++;
    while (*alive && this->isReplyExpected() && this->protocol.takeUpstreamPart(bytes, this->numSearched, this->partialReply, isComplete, failure)) {
        this->numReplyBytes += numBytesLeft - bytes.size();
        numBytesLeft = bytes.size();
        if (this->numReplyBytes > maximumReplyBytes || this->partialReply.rows.getSize() > maximumReplyRows)
            return this->fail(LossCause::Silent, "the upstream sent a reply longer than " + std::to_string(maximumReplyBytes) + " bytes or " + std::to_string(maximumReplyRows) + " rows");
        if (isComplete) {
            this->numReplyBytes = 0;
            if (this->receipt != nullptr) {
                this->accountReply(bytes.capacity());
                this->receipt->onComplete();
                this->partialReply.receipt = std::exchange(this->receipt, nullptr);
            }
            this->onReply(std::exchange(this->partialReply, SessionReply()));
        }
        isComplete = false;
    }
    if (*alive) {
        this->numBufferedBytes = bytes.size();
        this->accountReply(bytes.capacity());
    }
    if (*alive && !bytes.empty() && !this->isReplyExpected())
        return this->fail(LossCause::Silent, "the upstream sent bytes that answer no command");
    if (*alive && failure.kind != Failure::Kind::None)
        this->fail(LossCause::Silent, failure.reason);
}

void TcpUpstreamConnection::accountReply(std::size_t numUnparsed)
{
    std::size_t numBytes = this->partialReply.rows.countMemory() + numUnparsed;
    if (this->memory == nullptr || (this->receipt == nullptr && numBytes < minimumAccounted))
        return;
    if (this->receipt == nullptr)
        this->receipt = this->memory->open(*this);
    this->receipt->set(numBytes);
}

void TcpUpstreamConnection::giveUpReply()
{
    this->isGivenUp = true;
    this->fail(LossCause::NoMemory, "the replies that are being received exceed the memory");
}

bool TcpUpstreamConnection::isReplyExpected() const
{
    // Replies carry no id. Bytes that arrived before a command was sent do not answer it.
    return this->stage == Stage::Opening || (!this->pendingReplies.empty() && this->pendingReplies.front().numReads < this->numReads);
}

void TcpUpstreamConnection::onReply(SessionReply reply)
{
    if (this->stage == Stage::Opening) {
        if (reply.code == ReplyCode::ConnectionLimit)
            return this->fail(LossCause::Full, reply.message);
        if (reply.code == ReplyCode::WrongUpstream)
            return this->fail(LossCause::WrongUpstream, reply.message);
        if (!reply.isSuccess())
            return this->fail(LossCause::Silent, std::string("the upstream answered the startup message with ") + toString(reply.code));
        this->stage = Stage::Ready;
        this->openTimer->clear();
        return this->listener.onConnectionReady(*this);
    }
    if (!reply.hasResult())
        return this->fail(LossCause::Silent, "the upstream sent a reply without a result");

    TimePoint sentAt = this->pendingReplies.front().sentAt;
    this->lastAnswered = Answered { sentAt, std::chrono::duration_cast<Duration>(this->clock.now() - sentAt) };
    ReplyCallback callback = std::move(this->pendingReplies.front().callback);
    this->pendingReplies.pop_front();
    std::shared_ptr<bool> alive = this->isAlive;
    if (HandlerGuard::run("reply", [&] { callback(std::move(reply)); }))
        return;
    HandlerGuard::run("reply", [&] { callback(std::nullopt); });
    if (*alive)
        this->fail(LossCause::Silent, "a reply could not be handled");
}

void TcpUpstreamConnection::onSocketClosed(const std::string& reason, bool isRefused)
{
    // An upstream that rejects the connection sends the reason and closes it.
    if (this->stage == Stage::Opening && !this->partialReply.isSuccess())
        return this->onReply(std::exchange(this->partialReply, SessionReply()));
    this->fail(isRefused ? LossCause::Refused : LossCause::Silent, reason);
}

void TcpUpstreamConnection::fail(LossCause cause, const std::string& reason)
{
    if (this->stage == Stage::Lost)
        return;
    this->stage = Stage::Lost;
    this->openTimer->clear();
    this->socket->close();
    this->receipt.reset();
    this->partialReply = SessionReply();
    std::shared_ptr<bool> alive = this->isAlive;
    std::deque<PendingReply> unanswered = std::exchange(this->pendingReplies, {});
    for (PendingReply& pending : unanswered) {
        HandlerGuard::run("reply", [&] { pending.callback(std::nullopt); });
        if (!*alive)
            return;
    }
    this->listener.onConnectionLost(*this, cause, reason);
}

} // namespace lentiljunction
