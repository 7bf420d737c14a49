#include "UpstreamCommander.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// From the start of the connection to the answer: a connection takes some 12 ms and a round
    /// trip between availability zones some 10 ms, on an upstream that is busy several times that.
    constexpr std::chrono::milliseconds answerLimit { 500 };

} // namespace

UpstreamCommander::UpstreamCommander(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const InstanceId& self)
    : loop(loop)
    , clock(clock)
    , protocol(protocol)
    , self(self)
{
}

void UpstreamCommander::askStatus(const UpstreamEntry& upstream, Callback callback)
{
    UpstreamCommand command;
    command.kind = UpstreamCommand::Kind::Status;
    this->ask(upstream, command, std::move(callback));
}

void UpstreamCommander::demote(const UpstreamEntry& upstream, Term term, Callback callback)
{
    UpstreamCommand command;
    command.kind = UpstreamCommand::Kind::Demote;
    command.term = term;
    this->ask(upstream, command, std::move(callback));
}

void UpstreamCommander::ask(const UpstreamEntry& upstream, UpstreamCommand command, Callback callback)
{
    Question question;
    UpstreamConnection::Listener& listener = *this;
    question.link = std::make_unique<UpstreamConnection>(this->loop, this->clock, this->protocol, upstream, this->self, answerLimit, listener);
    const UpstreamConnection* key = question.link.get();
    question.timer = std::make_unique<OneShotTimer>(this->loop, this->clock, [this, key] { this->finish(key, std::nullopt, false); });
    question.timer->setTime(this->clock.now() + answerLimit);
    question.command = std::move(command);
    question.callback = std::move(callback);
    this->questions.emplace(key, std::move(question));
}

void UpstreamCommander::onConnectionReady(UpstreamConnection& link)
{
    std::map<const UpstreamConnection*, Question>::iterator found = this->questions.find(&link);
    if (found == this->questions.end())
        return;
    link.send(found->second.command, [this, key = &link](const std::optional<SessionReply>& reply) {
        std::optional<ReplicationStatus> status;
        if (reply && reply->isSuccess() && !reply->rows.empty())
            status = this->protocol.decodeReplicationStatus(reply->rows.front());
        this->finish(key, status, reply.has_value());
    });
}

void UpstreamCommander::onConnectionLost(UpstreamConnection& link, UpstreamConnection::LossCause trouble, const std::string&)
{
    this->finish(&link, std::nullopt, trouble == UpstreamConnection::LossCause::Full);
}

void UpstreamCommander::finish(const UpstreamConnection* link, std::optional<ReplicationStatus> status, bool isReached)
{
    std::map<const UpstreamConnection*, Question>::iterator found = this->questions.find(link);
    if (found == this->questions.end())
        return;
    std::shared_ptr<Question> finished = std::make_shared<Question>(std::move(found->second));
    this->questions.erase(found);
    finished->link->close();
    // The link and its timer may be on the stack, so they are destroyed later.
    this->loop.post([finished] {});
    finished->callback(std::move(status), isReached);
}

} // namespace lentiljunction
