#include "UpstreamCommander.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Includes the connection. Opening one takes about 12 ms and a round trip between availability zones
    /// about 10 ms, on a busy upstream several times as much.
    constexpr std::chrono::milliseconds responseTimeout { 500 };

} // namespace

UpstreamCommander::UpstreamCommander(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const InstanceId& self)
    : loop(loop)
    , clock(clock)
    , protocol(protocol)
    , self(self)
{
}

void UpstreamCommander::requestStatus(const UpstreamEntry& upstream, Callback callback)
{
    UpstreamCommand command;
    command.kind = UpstreamCommand::Kind::Status;
    this->sendCommand(upstream, command, std::move(callback));
}

void UpstreamCommander::demote(const UpstreamEntry& upstream, Term term, Callback callback)
{
    UpstreamCommand command;
    command.kind = UpstreamCommand::Kind::Demote;
    command.term = term;
    this->sendCommand(upstream, command, std::move(callback));
}

void UpstreamCommander::pause(const UpstreamEntry& upstream, Term term, Callback callback)
{
    UpstreamCommand command;
    command.kind = UpstreamCommand::Kind::Pause;
    command.term = term;
    this->sendCommand(upstream, command, std::move(callback));
}

void UpstreamCommander::resume(const UpstreamEntry& upstream, Callback callback)
{
    UpstreamCommand command;
    command.kind = UpstreamCommand::Kind::Resume;
    this->sendCommand(upstream, command, std::move(callback));
}

void UpstreamCommander::sendCommand(const UpstreamEntry& upstream, UpstreamCommand command, Callback callback)
{
    PendingCommand pending;
    UpstreamConnection::Listener& listener = *this;
    pending.connection = std::make_unique<TcpUpstreamConnection>(this->loop, this->clock, this->protocol, upstream, this->self.toString(), responseTimeout, listener);
    const UpstreamConnection* key = pending.connection.get();
    pending.timer = std::make_unique<OneShotTimer>(this->loop, this->clock, [this, key] { this->finish(key, std::nullopt, false); });
    pending.timer->setTime(this->clock.now() + responseTimeout);
    pending.command = std::move(command);
    pending.callback = std::move(callback);
    this->pendingCommands.emplace(key, std::move(pending));
}

void UpstreamCommander::onConnectionReady(UpstreamConnection& connection)
{
    std::map<const UpstreamConnection*, PendingCommand>::iterator found = this->pendingCommands.find(&connection);
    if (found == this->pendingCommands.end())
        return;
    connection.send(found->second.command, [this, key = &connection](const std::optional<SessionReply>& reply) {
        std::optional<ReplicationStatus> status;
        if (reply && reply->isSuccess() && !reply->rows.isEmpty())
            status = this->protocol.decodeReplicationStatus(reply->rows.getFirst());
        this->finish(key, status, reply.has_value());
    });
}

void UpstreamCommander::onConnectionLost(UpstreamConnection& connection, UpstreamConnection::LossCause cause, const std::string&)
{
    this->finish(&connection, std::nullopt, cause == UpstreamConnection::LossCause::Full);
}

void UpstreamCommander::finish(const UpstreamConnection* connection, std::optional<ReplicationStatus> status, bool isReachable)
{
    std::map<const UpstreamConnection*, PendingCommand>::iterator found = this->pendingCommands.find(connection);
    if (found == this->pendingCommands.end())
        return;
    std::shared_ptr<PendingCommand> finished = std::make_shared<PendingCommand>(std::move(found->second));
    this->pendingCommands.erase(found);
    finished->connection->close();
    // The connection and its timer may be on the call stack, so they are destroyed later.
    this->loop.post([finished] {});
    finished->callback(std::move(status), isReachable);
}

} // namespace lentiljunction
