#include "UpstreamLink.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

UpstreamLink::UpstreamLink(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const UpstreamEntry& upstream, const InstanceId& self, Duration openLimit, Listener& listener)
    : clock(clock)
    , protocol(protocol)
    , upstream(upstream.id)
    , group(upstream.group)
    , self(self)
    , listener(listener)
    , socket(TcpConnection::connect(loop, upstream.endpoint, *this))
    , openTimer(std::make_unique<OneShotTimer>(loop, clock, [this] { this->lose(Trouble::Silent, "no answer to the start of the connection"); }))
{
    this->openTimer->setTime(clock.now() + openLimit);
}

UpstreamLink::~UpstreamLink()
{
    *this->isAlive = false;
}

void UpstreamLink::send(const UpstreamCommand& command, ReplyCallback callback)
{
    if (this->stage == Stage::Lost)
        return callback(std::nullopt);
    this->callbacks.push_back({ std::move(callback), this->clock.now() });
    std::string encoded = this->protocol.encodeCommand(command);
    this->listener.onLinkBytes(encoded.size());
    this->socket->send(encoded);
}

void UpstreamLink::close()
{
    this->stage = Stage::Lost;
    *this->isAlive = false;
    this->isAlive = std::make_shared<bool>(true);
    this->callbacks.clear();
    this->openTimer->clear();
    this->socket->close();
}

std::optional<TimePoint> UpstreamLink::getWaitingSince() const
{
    if (this->callbacks.empty())
        return std::nullopt;
    return this->callbacks.front().sentAt;
}

void UpstreamLink::onSocketOpened()
{
    this->socket->send(this->protocol.encodeUpstreamStartup(this->group, this->self, this->upstream));
}

void UpstreamLink::onSocketBytes(std::string& bytes)
{
    std::shared_ptr<bool> alive = this->isAlive;
    Failure failure;
    bool isComplete = false;
    // What is left of an answer that is not complete was counted when it came.
    this->listener.onLinkBytes(bytes.size() - std::min(bytes.size(), this->numBytesLeft));
    while (*alive && this->protocol.takeUpstreamPart(bytes, this->partial, isComplete, failure)) {
        if (isComplete)
            this->onAnswer(std::exchange(this->partial, SessionReply()));
        isComplete = false;
    }
    if (*alive)
        this->numBytesLeft = bytes.size();
    if (*alive && failure.kind != Failure::Kind::None)
        this->lose(Trouble::Silent, failure.reason);
}

void UpstreamLink::onAnswer(SessionReply answer)
{
    if (this->stage == Stage::Opening) {
        if (answer.code == ReplyCode::ConnectionLimit)
            return this->lose(Trouble::Full, answer.message);
        if (answer.code == ReplyCode::WrongUpstream)
            return this->lose(Trouble::WrongUpstream, answer.message);
        if (!answer.isSuccess())
            return this->lose(Trouble::Silent, std::string("the start was answered with ") + toString(answer.code));
        this->stage = Stage::Ready;
        this->openTimer->clear();
        return this->listener.onLinkReady(*this);
    }
    if (this->callbacks.empty())
        return this->lose(Trouble::Silent, "an answer that nobody asked for");

    ReplyCallback callback = std::move(this->callbacks.front().callback);
    this->callbacks.pop_front();
    callback(std::move(answer));
}

void UpstreamLink::onSocketClosed(const std::string& reason, bool isRefused)
{
    // An upstream that does not take the connection says why and closes.
    if (this->stage == Stage::Opening && !this->partial.isSuccess())
        return this->onAnswer(std::exchange(this->partial, SessionReply()));
    this->lose(isRefused ? Trouble::Refused : Trouble::Silent, reason);
}

void UpstreamLink::lose(Trouble trouble, const std::string& reason)
{
    if (this->stage == Stage::Lost)
        return;
    this->stage = Stage::Lost;
    this->openTimer->clear();
    this->socket->close();
    std::shared_ptr<bool> alive = this->isAlive;
    std::deque<Awaited> unanswered = std::exchange(this->callbacks, {});
    for (Awaited& awaited : unanswered) {
        awaited.callback(std::nullopt);
        if (!*alive)
            return;
    }
    this->listener.onLinkLost(*this, trouble, reason);
}

} // namespace lentiljunction
